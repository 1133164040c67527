"""A submission takes effect late, after the client has cancelled the job and was told that it does not exist."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from cell import BOUNDS, CannotRun, play, runs  # noqa: E402

JOB = "00000000000000f1"
PATH = f"/watch/{JOB}"
LATE_S = 5.5
IMPAIRED_S = 1.0
CLIENT_DEADLINE_MS = 1_000


def case(trouble, open_cell):
    cell = open_cell(entries=3, executors=4)
    cell.start([("watch", "/watch/", 0, 2)])
    body = {"spec": '{"lasts":true}', "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "long_running": True}]}
    if trouble:
        cell.control("store", late_jobs=LATE_S)
    status, _ = cell.request("edge-0", "POST", PATH, body, deadline_ms=CLIENT_DEADLINE_MS)
    if trouble:
        cell.control("store")
        if status not in (None, 502, 504):
            raise CannotRun(f"the submission was answered {status}")
    status, _ = cell.request("edge-0", "DELETE", PATH)
    cancelled_at = time.time() * 1000
    if status not in (200, 410):
        raise CannotRun(f"the cancellation was answered {status}")
    time.sleep(12)
    cell.request("edge-1", "GET", PATH)
    breaks = []
    for task, run, executor, _, start, end, how in sorted(runs(cell.events() + cell.lines)):
        after_ms = round(start - cancelled_at)
        if after_ms > BOUNDS["cancel_ms"]:
            until = "still runs" if end is None else f"ended {how}"
            breaks.append(f"UNASKED: {task} run {run} started on {executor} {after_ms} ms after the cancelling was "
                          f"acknowledged with {status}, and {until} at the end of the case")
    return breaks


play(FOLDER, case)
