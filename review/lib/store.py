"""Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"), as far as the system uses it.

A control file (JSON) switches faults on: `late_jobs` is the number of seconds by which appends to keyed.jobs are carried
out late; they get no answer (`platform_lost`, variant `late`). `silent`: no call is carried out or answered (`platform_down`).
"""

import argparse
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152


class Topic:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.appending = threading.Lock()


class Store:
    def __init__(self, args):
        self.args = args
        self.changed = threading.Condition()
        self.topics = {}
        self.log_file = open(args.events, "a", buffering=1)

    def log(self, event, **fields):
        self.log_file.write(json.dumps({"t": round(time.time() * 1000), "event": event, **fields}) + "\n")

    def topic(self, name):
        with self.changed:
            return self.topics.setdefault(name, Topic())

    def control(self):
        try:
            with open(self.args.control) as file:
                return json.load(file)
        except (OSError, ValueError):
            return {}

    def append(self, name, query, body):
        topic = self.topic(name)
        records, rest = [], body
        while rest:
            length = int.from_bytes(rest[:4], "big")
            if length > RECORD_BYTES or len(rest) < 4 + length:
                self.log("refused", topic=name, bytes=length)
                return 400, {"error": "a record is too large or truncated"}
            records.append(rest[4:4 + length])
            rest = rest[4 + length:]
        if len(body) > REQUEST_BYTES:
            return 400, {"error": "the request is too large"}
        with topic.appending:
            time.sleep(0.002)
            with self.changed:
                producer = query.get("producer")
                if producer is not None:
                    epoch, sequence = int(query["epoch"]), int(query["sequence"])
                    seen = topic.producers.setdefault(producer, {"epoch": -1, "last": None, "answers": []})
                    if epoch < seen["epoch"]:
                        return 409, {"reason": "fenced"}
                    if epoch > seen["epoch"]:
                        seen.update(epoch=epoch, last=None, answers=[])
                    if records:
                        for repeated, answer in seen["answers"]:
                            if repeated == sequence:
                                return 200, answer
                        if seen["last"] is not None and sequence != seen["last"] + 1:
                            return 409, {"reason": "seq", "expected": seen["last"] + 1}
                offset = len(topic.records)
                topic.records.extend(records)
                answer = {"offset": offset, "end_offset": len(topic.records)}
                if producer is not None and records:
                    seen["last"] = sequence
                    seen["answers"] = (seen["answers"] + [(sequence, answer)])[-5:]
                self.changed.notify_all()
                return 200, answer

    def read(self, name, query):
        topic = self.topic(name)
        start, wait = int(query["from_rev"]), int(query.get("wait_ms", 0)) / 1000
        limit = int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + wait
        with self.changed:
            while len(topic.records) <= start and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            data = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for record in topic.records[start:]:
                if len(data) + 4 + len(record) > limit:
                    break
                data += len(record).to_bytes(4, "big") + record
            return data

    def newest(self, name, query):
        topic = self.topic(name)
        with self.changed:
            newest = {}
            for offset, record in enumerate(topic.records):
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                newest[key] = (value, offset)
            end = len(topic.records)
        after = query.get("depends_on", "")
        rows, size, more = [], 0, False
        for key in sorted(newest):
            value, offset = newest[key]
            if not value or key <= after:
                continue
            if len(rows) >= 500 or (rows and size + len(value) > 1_000_000):
                more = True
                break
            rows.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return {"items": rows, "has_more": more, "end_offset": end}


def main():
    parser = argparse.ArgumentParser()
    for name in ("ip", "events", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    store = Store(args)

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def reply(self, status, data, kind="application/json"):
            if not isinstance(data, bytes):
                data = json.dumps(data).encode()
            try:
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
            except OSError:
                pass

        def handle_call(self, body):
            if store.control().get("silent"):
                # Neither carried out nor answered; the channel returns nothing further.
                time.sleep(30)
                return
            url = urlsplit(self.path)
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            name = query.get("topic", "")
            if url.path == "/fescuelead/log-append":
                late_s = store.control().get("late_jobs")
                if late_s and name == "keyed.jobs":
                    store.log("append delayed", topic=name, seconds=late_s)
                    time.sleep(late_s)
                    store.append(name, query, body)
                    store.log("append carried out late", topic=name)
                    # The answer is lost, and the channel returns nothing further.
                    time.sleep(30)
                    return
                self.reply(*store.append(name, query, body))
            elif url.path == "/fescuelead/log-read":
                self.reply(200, store.read(name, query), "application/octet-stream")
            elif url.path == "/fescuelead/log-newest":
                self.reply(200, store.newest(name, query))
            else:
                self.reply(404, {})

        def do_GET(self):
            self.handle_call(b"")

        def do_POST(self):
            self.handle_call(self.rfile.read(int(self.headers.get("Content-Length", 0))))

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            pass

    Server((args.ip, args.port), Handler).serve_forever()


main()
