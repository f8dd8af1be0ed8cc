"""standins.faults: switches that make a stand-in fail."""

import attrs
import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

__all__ = ('Faults', 'add_fault_switches')

FAULTS_PATH = '/faults'


@attrs.define
class Faults:
    """What goes wrong now; set by ``PUT /faults``.

    :param down: answer nothing but 503.
    :param hang: accept requests and never answer.
    :param delay_s: answer late.
    :param lose_replies: requests that take effect but get no answer.
    """

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0


def add_fault_switches(app: QuartTrio, down_body: str = 'down\n') -> Faults:
    """Add the switches to an application and return them.

    :param down_body: body of the 503 while the application is down.
    """
    faults = Faults()

    @app.put(FAULTS_PATH)
    async def set_faults() -> Response:
        wanted = msgspec.json.decode(await request.get_data(), type=Faults)
        for name, setting in attrs.asdict(wanted).items():
            setattr(faults, name, setting)
        return Response('ok\n')

    @app.before_request
    async def fail_before() -> Response | None:
        if request.path == FAULTS_PATH:
            return None
        if faults.hang:
            await trio.sleep_forever()
        await trio.sleep(faults.delay_s)
        if faults.down:
            return Response(down_body, status=503)
        return None

    @app.after_request
    async def lose_reply(reply: Response) -> Response:
        if request.path == FAULTS_PATH or request.method == 'GET':
            return reply
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            await trio.sleep_forever()
        return reply

    return faults
