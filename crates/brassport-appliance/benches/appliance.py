#!/usr/bin/env python3
"""Measures the appliance: restart behind a long history, memory, durable changes, and a console's effect on requests.

    cargo build --release --workspace --examples
    crates/brassport-appliance/benches/appliance.py [DIRECTORY]

DIRECTORY (default: a temporary one) says on which disk the state lies. Everything runs on loopback.
"""

import json
import os
import pathlib
import socket
import socketserver
import statistics
import subprocess
import sys
import tempfile
import threading
import time

RELEASE = pathlib.Path(__file__).resolve().parents[3] / "target" / "release"
PROGRAM = RELEASE / "brassport-appliance"


class Node(socketserver.BaseRequestHandler):
    """Answers everything at once."""

    def handle(self):
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        kept = b""
        while data := self.request.recv(65536):
            kept += data
            while b"\r\n\r\n" in kept:
                kept = kept.split(b"\r\n\r\n", 1)[1]
                self.request.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Site:
    def __init__(self, directory):
        self.directory = directory
        self.port = free_port()
        self.call("init", "--listen", f"127.0.0.1:{self.port}")

    def call(self, *words):
        command = [PROGRAM, "--state", self.directory, "--json", *words]
        return json.loads(subprocess.run(command, check=True, capture_output=True).stdout or "null")

    def start(self):
        self.process = subprocess.Popen([PROGRAM, "--state", self.directory, "run"], stderr=subprocess.DEVNULL)

    def control(self):
        while True:
            try:
                control = socket.socket(socket.AF_UNIX)
                control.connect(os.path.join(self.directory, "control.sock"))
                return control
            except OSError:
                control.close()
                time.sleep(0.001)

    def stop(self):
        self.process.kill()
        self.process.wait()


class Client:
    """One connection that is kept."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def ask(self, studio=0x11, method="GET", path="/frame/1", name=None):
        head = f"{method} {path} HTTP/1.1\r\nHost: door\r\nCookie: client={studio:016x}\r\nContent-Length: 0\r\n"
        head += f"X-Request-Id: {name}\r\n" if name else ""
        began = time.perf_counter()
        self.socket.sendall((head + "\r\n").encode())
        answer = self.socket.recv(65536)
        return answer.split(b" ")[1], (time.perf_counter() - began) * 1000


def ask_control(control, question, number):
    control.sendall((json.dumps({"v": 1, "id": number, **question}) + "\n").encode())
    answer = b""
    while not answer.endswith(b"\n"):
        answer += control.recv(1 << 20)
    return json.loads(answer)


def first_served(site):
    """Milliseconds from the process's start to the first served request."""
    began = time.perf_counter()
    site.start()
    while True:
        try:
            if Client(site.port).ask()[0] == b"200":
                return (time.perf_counter() - began) * 1000
        except OSError:
            pass
        time.sleep(0.001)


def memory(pid):
    """Resident MB, and the part of that which is the process's own (not of files)."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = {line.split(":")[0]: line.split(":")[1] for line in lines}
    return [int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon")]


def percentile(values, part):
    return sorted(values)[int(part * len(values))]


def requests(site, seconds):
    """Times of requests at 200 a second, of studios within their quotas."""
    client, times, began, number = Client(site.port), [], time.perf_counter(), 0
    while (due := began + number / 200) < began + seconds:
        time.sleep(max(0, due - time.perf_counter()))
        status, took = client.ask(studio=0x100 + number % 40)
        if status == b"200":
            times.append(took)
        number += 1
    return times


def main():
    within = sys.argv[1] if len(sys.argv) > 1 else None
    server = Server(("127.0.0.1", 0), Node)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    endpoint = f"127.0.0.1:{server.server_address[1]}"
    with tempfile.TemporaryDirectory(dir=within) as directory:
        site = Site(directory)
        site.start()
        control = site.control()
        add = {"action": "add_node", "name": "real", "endpoint": endpoint, "warm": True}
        change = lambda name, action: {"ask": "change", "change": {"id": name, "who": "", "at_ms": 0, "action": action}}
        assert "ok" in ask_control(control, change("add", add), 1)
        time.sleep(1)
        print("idle, 1 node: resident %.1f MB, of its own %.1f MB" % tuple(memory(site.process.pid)))

        began, count = time.perf_counter(), 0
        while time.perf_counter() < began + 3:
            word = "drain_node" if count % 2 == 0 else "resume_node"
            assert "ok" in ask_control(control, change(f"c{count}", {"action": word, "name": "real"}), count)
            count += 1
        print(f"durable changes, one after another: {count / 3:.0f} a second")
        if count % 2:
            ask_control(control, change("last", {"action": "resume_node", "name": "real"}), 0)

        pairs = []
        for _ in range(5):
            alone = requests(site, 4)
            ended = threading.Event()

            def console():
                attached = site.control()
                while not ended.wait(0.5):
                    ask_control(attached, {"ask": "status"}, 1)

            watcher = threading.Thread(target=console)
            watcher.start()
            pairs.append((alone, requests(site, 4)))
            ended.set()
            watcher.join()
        for name, part in (("p50", 0.5), ("p99", 0.99)):
            alone, watched = ([percentile(pair[side], part) for pair in pairs] for side in (0, 1))
            print(f"{name} of a request: alone {statistics.median(alone):.2f} ms {[f'{value:.2f}' for value in alone]}, "
                  f"with a console {statistics.median(watched):.2f} ms {[f'{value:.2f}' for value in watched]}")

        client, safe, unsafe = Client(site.port), [], []
        for number in range(300):
            safe.append(client.ask(studio=0x200 + number % 40)[1])
            unsafe.append(client.ask(0x300 + number % 40, "POST", "/job-submit/1", f"j{number}")[1])
        print(f"median request: frame {statistics.median(safe):.2f} ms, job-submit with its record "
              f"{statistics.median(unsafe):.2f} ms")
        site.stop()

    with tempfile.TemporaryDirectory(dir=within) as directory:
        site = Site(directory)
        fill = [RELEASE / "examples" / "fill", directory, "1000", "100000"]
        subprocess.run(fill, check=True, stdout=subprocess.DEVNULL)
        site.call("nodes", "add", "real", endpoint, "--warm", "--size", "1000")
        # The filled nodes listen nowhere: they drain, all by one change, so that the first request has one to go to.
        nodes = [{"name": "real", "endpoint": endpoint}]
        size = os.path.getsize(os.path.join(directory, "state.redb")) / 1e6
        times = [measure_open(site) for _ in range(5)]
        print(f"1,000 nodes, 100,000 changes: file {size:.1f} MB, opened and listening after "
              f"{statistics.median(times):.0f} ms {[f'{value:.0f}' for value in times]}")
        site.start()
        site.control()
        print("with those: resident %.1f MB, of its own %.1f MB" % tuple(memory(site.process.pid)))
        site.stop()
        path = os.path.join(directory, "list.json")
        pathlib.Path(path).write_text(json.dumps(nodes))
        site.call("nodes", "import", path)
        times = []
        for _ in range(5):
            times.append(first_served(site))
            site.stop()
        print(f"100,000 changes, killed, to the first served request: {statistics.median(times):.0f} ms "
              f"{[f'{value:.0f}' for value in times]}")
    server.shutdown()


def measure_open(site):
    began = time.perf_counter()
    site.start()
    while True:
        try:
            Client(site.port)
            break
        except OSError:
            time.sleep(0.001)
    took = (time.perf_counter() - began) * 1000
    site.stop()
    return took


if __name__ == "__main__":
    main()
