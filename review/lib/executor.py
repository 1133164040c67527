"""Stand-in for an executor of the platform (PROTOCOL.md, "Running tasks" and "Service discovery").

Runs as a process of its own, so that a test can crash it with SIGKILL and start it again under the same id. The payload
(`spec`) of a job is a JSON object that this stand-in interprets: `ms` is how long a task works.

A control file (JSON) switches faults on: `mute` (no call is answered or carried out), `drop_starts` (starts are neither
answered nor carried out), `draining`, `cut_beats` (liveness reports are lost on the way).
"""

import argparse
import http.client
import json
import os
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOLD_MAX_MS = 6_000
STOP_MS = 350


class Executor:
    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.lock = threading.Condition()
        self.starting = threading.Lock()
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.ended = []
        self.number = 0
        self.seen = 0
        self.highest = {}
        self.log_file = open(args.events, "a", buffering=1)

    def log(self, event, **fields):
        fields = {"t": round(time.time() * 1000), "event": event, "executor": self.args.id, "born": self.born, **fields}
        self.log_file.write(json.dumps(fields) + "\n")

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1_000

    def control(self):
        try:
            with open(self.args.control) as file:
                return json.load(file)
        except (OSError, ValueError):
            return {}

    def end(self, task, how):
        run = self.running.pop(task)
        self.number += 1
        self.ended.append([self.number, task, run["run"], how, run["saved"]])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.log("end", task=task, run=run["run"], how=how, number=self.number)
        self.lock.notify_all()

    def tick(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                now = self.clock_ms()
                if self.running and now > self.lease_end:
                    for task in list(self.running):
                        self.end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run["stop_at"] is not None and now >= run["stop_at"]:
                        self.end(task, "stopped")
                    elif run["end_at"] is not None and now >= run["end_at"]:
                        self.end(task, "done")

    def extend(self, deadline):
        if deadline is not None:
            now = self.clock_ms()
            self.lease_end = max(self.lease_end, min(int(deadline), now + HOLD_MAX_MS))

    def run_start(self, body):
        task, run = body["task"], body["run_id"]
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadline_ms"])
        present = self.running.get(task)
        if present and present["run"] == run:
            return 200, {}
        if present or run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        work = json.loads(body["spec"])
        end_at = None if work.get("lasts") else self.clock_ms() + work["ms"]
        self.running[task] = {"run": run, "saved": "", "end_at": end_at, "stop_at": None}
        self.log("start", task=task, run=run, token=body.get("fencing_token", 0))
        return 200, {}

    def run_stop(self, body):
        task, run = body["task"], body["run_id"]
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        present = self.running.get(task)
        if present and present["run"] == run:
            if present["stop_at"] is None:
                self.log("stop", task=task, run=run)
                present["stop_at"] = self.clock_ms() + STOP_MS
        else:
            self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {}

    def hold(self, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        self.extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        if seen > self.seen:
            self.seen = seen
            self.log("seen", up_to=seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2_000) / 1000
        while not self.ended and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        rows = [[task, run["run"], run["saved"], 50, 10] for task, run in self.running.items()]
        return 200, {"running": rows, "ended": self.ended[:500]}

    def report(self, state, path="heartbeat"):
        self.sequence += 1
        body = {
            "service": self.args.service, "address": f"{self.args.ip}:{self.args.port}", "zone": self.args.zone,
            "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.args.cpu, "mem_mb": 62_500, "gpu": 0}, "labels": ["a", self.args.rack],
            "clock_ms": self.clock_ms(), "sequence": self.sequence, "born": self.born,
        }
        try:
            connection = http.client.HTTPConnection(*self.args.agent.split(":"), timeout=1)
            connection.request("POST", f"/fescuelead/instances/{self.args.id}/{path}", json.dumps(body),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            return status
        except OSError:
            return None

    def beats(self):
        self.sequence = 0
        last, reported = 0.0, None
        while True:
            control = self.control()
            state = "draining" if control.get("draining") else "ready"
            due = time.monotonic() - last >= 1.5 or state != reported
            if due and control.get("cut_beats"):
                # Partitioned from its control address: the report is sent and does not arrive.
                self.log("report lost", state=state)
                reported = state
                last = time.monotonic()
            elif due:
                status = self.report(state)
                if state != reported:
                    self.log("reported", state=state, status=status)
                if status == 200:
                    last, reported = time.monotonic(), state
                else:
                    last = time.monotonic() - 1.2
            time.sleep(0.02)


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "service", "zone", "rack", "agent", "events", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--start-ms", type=float, default=0)
    args = parser.parse_args()
    executor = None

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            control = executor.control()
            if control.get("mute") or (control.get("drop_starts") and self.path.endswith("run-start")):
                # Neither carried out nor answered; the channel stays open.
                time.sleep(30)
                return
            expected = self.headers.get("Fescuelead-Expect-Instance")
            if args.start_ms and self.path.endswith("run-start"):
                # To start a task takes a moment, and one is started after the other.
                with executor.starting:
                    known = max(executor.highest.get(body["task"], 0), executor.running.get(body["task"], {}).get("run", 0))
                    if body["run_id"] > known:
                        time.sleep(args.start_ms / 1000)
            with executor.lock:
                if expected is not None and expected != args.id:
                    status, reply = 421, {}
                else:
                    call = {"/fescuelead/run-start": executor.run_start, "/fescuelead/run-stop": executor.run_stop,
                            "/fescuelead/hold": executor.hold}.get(self.path)
                    status, reply = call(body) if call else (200, {})
                reply = {"clock_ms": executor.clock_ms(), "born": executor.born, **reply}
            data = json.dumps(reply).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
            except OSError:
                pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            pass

    while True:
        try:
            server = Server((args.ip, args.port), Handler)
            break
        except OSError:
            # The earlier boot is still up: this process has been started to take its place as soon as it is gone.
            time.sleep(0.005)
    executor = Executor(args)
    executor.log("boot", pid=os.getpid())
    threading.Thread(target=executor.tick, daemon=True).start()
    threading.Thread(target=executor.beats, daemon=True).start()
    server.serve_forever()


main()
