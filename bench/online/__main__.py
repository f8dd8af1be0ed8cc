"""bench.online: run all figures, or one.

Usage:
  bench.online [harm | yield | overload | resume]

Absolute times hold only for the run. Harm and overload use modelled
engines, three sidecars a process, over real sockets; yield and resume use
the stand-in engine over HTTP.
"""

import trio
from docopt import docopt

from .figures import measure_harm, measure_overload
from .preemption import measure_preemption
from .resuming import measure_resume


async def _run(arguments: dict[str, bool]) -> None:
    named = {name for name, is_set in arguments.items() if is_set}
    if 'harm' in named or not named:
        await measure_harm()
    if 'yield' in named or not named:
        await measure_preemption()
    if 'overload' in named or not named:
        await measure_overload()
    if 'resume' in named or not named:
        await measure_resume()


if __name__ == '__main__':
    trio.run(_run, docopt(__doc__))
