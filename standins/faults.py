"""standins.faults: fault injection for the HTTP stand-ins."""

import attrs
import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

__all__ = ('Faults', 'add_fault_injection')

FAULTS_PATH = '/faults'


@attrs.define
class Faults:
    """Faults in effect; ``PUT /faults`` replaces them all.

    :param down: respond to every request with 503.
    :param hang: accept requests and never respond.
    :param delay_s: seconds before each request is processed.
    :param lose_replies: number of following requests (GET excepted) that
        take effect and get no response.
    """

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0


def add_fault_injection(app: QuartTrio, down_body: str = 'down\n') -> Faults:
    """Add ``PUT /faults`` and the faults to an application.

    :param down_body: body of the 503 responses while ``down`` is set.
    """
    faults = Faults()

    @app.put(FAULTS_PATH)
    async def set_faults() -> Response:
        requested = msgspec.json.decode(await request.get_data(), type=Faults)
        for name, setting in attrs.asdict(requested).items():
            setattr(faults, name, setting)
        return Response('ok\n')

    @app.before_request
    async def inject_fault() -> Response | None:
        if request.path == FAULTS_PATH:
            return None
        if faults.hang:
            await trio.sleep_forever()
        await trio.sleep(faults.delay_s)
        if faults.down:
            return Response(down_body, status=503)
        return None

    @app.after_request
    async def drop_reply(reply: Response) -> Response:
        if request.path == FAULTS_PATH or request.method == 'GET':
            return reply
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            await trio.sleep_forever()
        return reply

    return faults
