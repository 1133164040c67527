"""A small deployment on loopback addresses: the project's own programs, and stand-ins for the store and the executors."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

LIB = Path(__file__).resolve().parent
ROOT = LIB.parent.parent
SERVICE = "planner-rbs"
HOST = "desk.example"
ZONES = ("zone-noord-1", "zone-noord-2", "zone-noord-3", "zone-noord-4")
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000, "evacuation_ms": 5000, "recovery_s": 12, "hold_max_ms": 6000, "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint_s": 2, "restore_ms": 600, "notice_ms": 4500, "fencing_enforced": True, "lease_ms": 3000,
}
PORTS = {"frontend": 8161, "readiness": 8167, "control_plane": 8166, "app": 8165, "internal": 7720, "metrics": 9464,
         "store": 8169}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Cell:
    def __init__(self, entries=3, executors=4, cpu=16_000, start_ms=0):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.events_file = self.folder / "events.jsonl"
        self.events_file.touch()
        self.net = self.free_net(1 + entries + executors)
        self.processes, self.lines, self.cpu, self.start_ms = {}, [], cpu, start_ms
        self.entries = [f"edge-{index}" for index in range(entries)]
        self.agents = [f"side-{index}" for index in range(executors)]
        self.ips = {"store": f"{self.net}.1"}
        for index, name in enumerate(self.entries + self.agents):
            self.ips[name] = f"{self.net}.{index + 2}"
        self.config = {"version": 1, "routes": [], "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
             "admission_check": False, "standby": False}], "limits": {"max_body_bytes": 262144}}

    @staticmethod
    def free_net(machines):
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for machine in range(1, machines + 2):
                    for port in PORTS.values():
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{machine}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    # Recording

    def note(self, what, **fields):
        self.lines.append({"t": round(time.time() * 1000), "event": what, **fields})

    def events(self):
        with open(self.events_file) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def write_record(self, path, verdict):
        rows = sorted(self.events() + self.lines, key=lambda row: row["t"])
        start = rows[0]["t"] if rows else 0
        with open(path, "w") as file:
            for row in rows:
                rest = " ".join(f"{key}={value}" for key, value in row.items() if key not in ("t", "event"))
                file.write(f"{(row['t'] - start) / 1000:8.3f} s  {row['event']:<12} {rest}\n")
            file.write("\n".join(verdict) + "\n")

    # Processes

    def spawn(self, name, command, environment=None):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                                env=environment, stdin=subprocess.DEVNULL)

    def settings(self, name, role):
        ip = self.ips[name]
        zone = ZONES[int(name.rsplit("-", 1)[1]) % len(ZONES)]
        listen = {"frontend": f"{ip}:{PORTS['frontend']}", "readiness": f"{ip}:{PORTS['readiness']}"}
        if role == "agent":
            listen = {"control_plane": f"{ip}:{PORTS['control_plane']}"}
        settings = {
            "node_name": name, "role": role, "machine_class": self.roles[role]["on"],
            "serves": self.roles[role]["serves"], "ip": ip, "zone": zone, "region": "regio-noord",
            "zones": {zone: "regio-noord" for zone in ZONES}, "listen": listen,
            "internal_ports": [PORTS["internal"], PORTS["internal"] + 15], "seeds": [], "bootstrap": True,
            "data_dir": None, "discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "bounds": BOUNDS,
            "control_mode": "rpc",
            "platform": {"address": f"{self.ips['store']}:{PORTS['store']}", "form": "log", "record_bytes": 262144,
                         "request_bytes": 2097152, "keep_s": 300},
        }
        if role == "agent":
            settings.update(app=f"{ip}:{PORTS['app']}", service=SERVICE)
        return settings

    def start_node(self, name, role):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, role)))
        command = self.roles[role]["run"].split()
        command[0] = str(ROOT / command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} is missing; run the build of deploy/system.toml")
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.spawn(name, command, {**keep, "FESCUELEAD_BOOT": str(path)})
        self.note("started", process=name)

    def start_executor(self, name):
        number = int(name.rsplit("-", 1)[1])
        self.spawn(f"exec-{number}", [
            sys.executable, str(LIB / "executor.py"), "--id", f"i-{number:08x}", "--ip", self.ips[name],
            "--port", str(PORTS["app"]), "--service", SERVICE, "--zone", ZONES[number % len(ZONES)],
            "--rack", f"r{number // 3}-1", "--agent", f"{self.ips[name]}:{PORTS['control_plane']}",
            "--events", str(self.events_file), "--control", str(self.control_path(name)), "--cpu", str(self.cpu),
            "--start-ms", str(self.start_ms)])

    def control_path(self, name):
        return self.folder / f"{name}.control"

    def control(self, name, **flags):
        path = self.control_path(name)
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(flags))
        os.replace(temporary, path)
        self.note("control", of=name, flags=flags)

    def kill_executor(self, name):
        number = int(name.rsplit("-", 1)[1])
        process = self.processes.pop(f"exec-{number}")
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note("crash", executor=f"i-{number:08x}")

    def replace_executor(self, name):
        """Crashes an executor and has it start again at once: the new process is there before and waits for the port."""
        number = int(name.rsplit("-", 1)[1])
        old = self.processes[f"exec-{number}"]
        self.start_executor(name)
        time.sleep(0.6)
        old.send_signal(signal.SIGKILL)
        old.wait()
        self.note("crash", executor=f"i-{number:08x}")

    def start(self, routes):
        for route, prefix, priority, attempts in routes:
            self.config["routes"].append({
                "name": route, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
                "target_latency_ms": 1000, "priority": priority, "service": SERVICE, "max_attempts": attempts,
                "extension": 2.0})
        self.spawn("store", [sys.executable, str(LIB / "store.py"), "--ip", self.ips["store"],
                             "--port", str(PORTS["store"]), "--events", str(self.events_file),
                             "--control", str(self.control_path("store"))])
        self.wait_for("the store", lambda: self.put_record("keyed.op", "config", self.config))
        for name in self.agents:
            self.start_node(name, "agent")
            self.start_executor(name)
        for name in self.entries:
            self.start_node(name, "entry")
        for name in self.entries:
            self.wait_for(name, lambda: self.call(name, "GET", "/fescuelead/readyz", port="readiness")[0] == 200)
        self.wait_for("the leader and its hosts", lambda: self.connected() >= len(self.agents))
        time.sleep(1)

    def connected(self):
        """The number of hosts that have reported their runs to the leader, from the entries' logs."""
        hosts = set()
        for name in self.entries:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            hosts.update(line.split("host=")[1].split()[0] for line in text.splitlines() if "host reported its runs" in line)
        return len(hosts)

    @staticmethod
    def wait_for(what, condition, limit_s=25):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{what} is not ready after {limit_s} s")

    # Calls

    def put_record(self, topic, key, value):
        data = json.dumps(value).encode()
        content = bytes([len(key)]) + key.encode() + data
        connection = http.client.HTTPConnection(self.ips["store"], PORTS["store"], timeout=2)
        connection.request("POST", f"/fescuelead/log-append?topic={topic}&part=0",
                           len(content).to_bytes(4, "big") + content)
        return connection.getresponse().status == 200

    def call(self, name, method, path, body=None, port="frontend", deadline_ms=3_000):
        headers = {"Host": HOST, "Content-Type": "application/json", "Fescuelead-Deadline-Ms": str(deadline_ms)}
        connection = http.client.HTTPConnection(self.ips[name], PORTS[port], timeout=deadline_ms / 1000 + 1)
        try:
            connection.request(method, path, None if body is None else json.dumps(body), headers)
            response = connection.getresponse()
            data = response.read()
            return response.status, json.loads(data) if data else {}
        finally:
            connection.close()

    def request(self, name, method, path, body=None, deadline_ms=3_000):
        """A client's request, recorded with its answer. The status is None without an answer."""
        self.note("sent", request=f"{method} {path}", to=name)
        try:
            status, reply = self.call(name, method, path, body, deadline_ms=deadline_ms)
        except (OSError, http.client.HTTPException) as error:
            status, reply = None, {"error": str(error)}
        self.note("answered", request=f"{method} {path}", by=name, status=status, body=json.dumps(reply))
        return status, reply

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case):
    """Plays a case and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. `case` gets a
    cell and whether the disruption is to happen, and returns the list of breaks of the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Path(folder) / "record.txt"
    cell = None
    code = 2
    verdict = []
    try:
        breaks = case(trouble, lambda **options: _open(options))
        code = 1 if breaks else 0
        verdict = [f"BROKEN: {line}" for line in breaks] or ["the rule held"]
    except CannotRun as error:
        verdict = [f"could not run: {error}"]
    finally:
        cell = _open.cell
        if cell is not None:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(cell.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            cell.write_record(record, [f"disruption: {'yes' if trouble else 'no'}"] + verdict)
            cell.close()
    print("\n".join(verdict))
    sys.exit(code)


def _open(options):
    _open.cell = Cell(**options)
    return _open.cell


_open.cell = None


def runs(events):
    """The runs that the executors have seen: a list of (task, run, executor, born, start, end, how). A crash of the
    executor ends its runs as `gone`."""
    found, crashes = {}, []
    for event in sorted(events, key=lambda event: event["t"]):
        if event["event"] == "start":
            key = (event["task"], event["run"], event["executor"], event["born"])
            found[key] = [event["t"], None, None]
        elif event["event"] == "end":
            key = (event["task"], event["run"], event["executor"], event["born"])
            if key in found:
                found[key][1:] = [event["t"], event["how"]]
        elif event["event"] == "crash":
            crashes.append(event)
            for (task, run, executor, born), times in found.items():
                if executor == event["executor"] and times[1] is None:
                    times[1:] = [event["t"], "gone"]
    return [(*key, *times) for key, times in found.items()]


def overlaps(history):
    """Pairs of runs of one task that ran at the same time on executors that are up."""
    breaks, by_task = [], {}
    for task, run, executor, _, start, end, how in history:
        by_task.setdefault(task, []).append((start, end if end is not None else float("inf"), run, executor, how))
    for task, rows in sorted(by_task.items()):
        rows.sort()
        for index, (start, end, run, executor, how) in enumerate(rows):
            for start2, end2, run2, executor2, _ in rows[index + 1:]:
                # A millisecond of rounding on either side.
                if run2 != run and start2 + 2 < end:
                    breaks.append(f"TWICE: {task} run {run} on {executor} ({how}) and run {run2} on {executor2} ran at "
                                  f"the same time for {min(end, end2) - start2} ms")
    return breaks


def repeated(history, events):
    """Runs that started after a run of their task had ended `done`, where that end was taken note of."""
    noted = set()
    for event in events:
        if event["event"] == "seen":
            noted.update(other["task"] for other in events
                         if other["event"] == "end" and other["how"] == "done" and other["number"] <= event["up_to"]
                         and (other["executor"], other["born"]) == (event["executor"], event["born"])
                         and other["t"] <= event["t"])
    breaks = []
    for task, run, executor, _, start, _, _ in sorted(history):
        for other, earlier, where, _, _, end, how in history:
            if other == task and earlier != run and how == "done" and end < start and task in noted:
                breaks.append(f"TWICE: {task} run {run} started on {executor} {start - end} ms after run {earlier} had ended "
                              f"done on {where}, an end that was taken note of")
    return breaks
