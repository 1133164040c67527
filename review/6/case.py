"""An executor is cut off from all machines for 1.5 s, and the cut refuses connections. It runs on under its lease."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import asyncio

from standins import CannotRun, Proxy, job_id, main

CUT_S = 1.5
TASK_S = 8.0


async def play(site, trouble):
    executors = [site.add_executor(labels=("a", f"r1-{i // 3 + 1}"), work=lambda task, run: (TASK_S, "done"))
                 for i in range(6)]
    for executor in executors:
        executor.proxy_port = site.port(executor.ip)
        executor.proxy = Proxy(executor.ip, executor.proxy_port, executor.app_port)
        await executor.proxy.open()
    await site.start()
    job = job_id()
    step = {"count": 6, "cpu": 4000, "mem_mb": 3200, "estimate_ms": int(TASK_S * 1000)}
    if not await site.submit(job, [step]):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(2)
    cut = next(executor for executor in executors if executor.runs)
    if trouble:
        site.record.say(f"{cut.name} is cut off for {CUT_S} s and runs on: {sorted(cut.runs)}")
        cut.cut_off = True
        cut.proxy.cut()
    await asyncio.sleep(CUT_S)
    if trouble:
        await cut.proxy.open()
        cut.cut_off = False
        site.record.say(f"{cut.name} is reached again")
    state = await site.wait_state(job, {"completed", "failed", "cancelled"}, 40)
    site.record.say(f"the job is shown as {state}")
    site.logs(["endpoint crashed", "endpoint lost", "host lost its runs"])
    overlaps = site.overlaps()
    for overlap in overlaps:
        site.record.say(f"two runs at the same time: {overlap}")
    return f"TWICE: {len(overlaps)} tasks had two runs at the same time" if overlaps else None


main(HERE, play)
