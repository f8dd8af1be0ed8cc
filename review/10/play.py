"""Items name a large maximum of output tokens."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import parts_2 as parts

FOLDER = pathlib.Path(__file__).resolve().parent

# prompt, and the most that may be written: more than a runner's memory of
# 72,000 tokens, or as on the sheet
PROMPT_TOKENS = 350
MAX_OUTPUT, USUAL_OUTPUT = 72_000, 446

ITEMS = 5
KEEP_S = 60.0
READ_S = 20.0


async def play():
    async with parts.Fleet(FOLDER) as fleet:
        record = fleet.record
        fleet.store.put('op/config', parts.make_config())
        for number in range(3):
            engine = parts.Engine(f'i-{number}', record)
            await fleet.add_engine(engine, 'hobart-a')
        for zone in ('hobart-a', 'launceston-b'):
            fleet.add_machine('entry', zone, 300)
            fleet.add_machine('batch', zone, 330)
        for machine in fleet.machines:
            machine.start()
        await fleet.wait_ready()
        await asyncio.sleep(1)
        most = MAX_OUTPUT if parts.is_troubled() else USUAL_OUTPUT
        job_id = 'job-large'
        items = [
            parts.make_item(f'{job_id}-{number}', tokens=PROMPT_TOKENS + most)
            for number in range(ITEMS)
        ]
        for item in items:
            counts = f'{PROMPT_TOKENS},{most}'
            item['headers']['Briarrill-Token-Count'] = counts
        entry = fleet.entries[0]
        began = record.now_s
        status = await fleet.submit(entry, job_id, items)
        record(
            f'{job_id} sent, {PROMPT_TOKENS} + {most} tokens each: {status}'
        )
        if status != 202:
            return parts.NOT_RUN
        results = []
        while record.now_s - began < READ_S and len(results) < ITEMS:
            _, page = await fleet.read_results(entry, job_id)
            results = page.get('results', [])
            await asyncio.sleep(0.5)
        listed_s = record.now_s - began
        ran = [attempt for one in fleet.engines for _, attempt, _ in one.ran]
        for result in results:
            record(
                f'{result["id"]}: {result["state"]} {listed_s:.1f} s after the'
                f' job was sent, ran {ran.count(result["id"])} times'
            )
        early = [
            result
            for result in results
            if result['state'] == 'errored' and listed_s < KEEP_S
        ]
        record(f'errored before keep_s, without a 422 or 500: {len(early)}')
        record('rule MIXED ' + ('broken' if early else 'held'))
        return parts.BROKEN if early else parts.HELD


parts.run_case(play)
