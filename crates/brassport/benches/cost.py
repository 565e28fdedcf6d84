#!/usr/bin/env python3
"""What a request costs the front door in CPU, beside other builds of it and beside HAProxy.

Each program runs alone on one core before four nginx upstreams and gets the same load: 64 kept connections, GET with
all headers of the protocol, every request under an id of its own. The programs take turns within one run, as absolute
figures of a shared machine do not carry over. Needs wrk, nginx and haproxy (Debian packages), and four cores for
figures that mean something. Only loopback addresses are used.

    crates/brassport/benches/cost.py [--rounds N] [--seconds S] NAME=BINARY [NAME=BINARY ...]

Prints a row for each program and round, then medians and the ratio of each to the first.
"""
import argparse, json, os, shutil, signal, socket, statistics, subprocess, sys, tempfile, time

HZ = os.sysconf("SC_CLK_TCK")
CORES = sorted(os.sched_getaffinity(0))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def start(command, core, **more):
    core = CORES[core % len(CORES)]
    return subprocess.Popen(["taskset", "-c", str(core)] + command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, **more)


def await_port(port):
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            socket.create_connection(("127.0.0.1", port), 0.2).close()
            return
        except OSError:
            time.sleep(0.01)
    sys.exit(f"nothing listens on port {port} after 10 s")


def cpu(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / HZ


def nginx(folder, ports):
    servers = "\n".join(f"server {{ listen 127.0.0.1:{p}; location / {{ add_header Usage-Percent 10; return 200 'frame'; }} }}" for p in ports)
    path = os.path.join(folder, "nginx.conf")
    with open(path, "w") as f:
        f.write(f"""daemon off; master_process off; worker_processes 1; pid {folder}/nginx.pid; error_log /dev/null;
events {{ worker_connections 1024; }}
http {{ access_log off; keepalive_requests 100000000; keepalive_timeout 600; default_type text/plain;
client_body_temp_path {folder}/b; proxy_temp_path {folder}/p; fastcgi_temp_path {folder}/f; uwsgi_temp_path {folder}/u; scgi_temp_path {folder}/s;
{servers} }}""")
    return start(["nginx", "-c", path], 1)


def front_door(binary, folder, port, upstreams):
    cls = lambda name, kind: dict(name=name, semantics=kind, group="all", dedupWindow=5000.0, worth=1.0, slo=1000.0, deadline=4000.0, lateShare=0.0, stream=False)
    plan = dict(name="starter", unitsPerS=1e6, storeSize=2e6, concurrency=0, price=1.0, excessWorth=0.0, overrunCost=0.8, neverOverRate=0.0, capDepth=0.0, tolerance=0.0)
    targets = [dict(uid=f"s-{n:08x}", endpoint=f"127.0.0.1:{p}", az="a", model="m", pod_group=0, state="ready", capacity_hint=1.0, boot_ms=0) for n, p in enumerate(upstreams)]
    config = dict(name="n0", listen=f"127.0.0.1:{port}", discovery="127.0.0.1:9", seed="1", limits=dict(cores=1.0, memory_mb=192, sockets=1024), counter="127.0.0.1:9",
                  known=dict(rev=1, all=True, targets=targets),
                  settings=dict(areas=["a"], balancers=1, ordinal=0, zone=0, tick=4.0, registryMode="pushed",
                                bounds=dict(cancel=True, connIdle=15000.0, connectTimeout=250.0, maxAttempts=4, maxRetryAfter=500.0, mayDuplicate=False, retryAfter=True),
                                rules=dict(cold=18000.0, coldFrom=0.24, fall=3000.0, stopSendingWithin=500.0, tipMultiple=2.0),
                                familyInfo=dict(mostUnits=1, usePeriod=500.0), classes=[cls("preview-fetch", "free"), cls("job-submit", "single_shot")], plans=[plan]))
    path = os.path.join(folder, f"config-{port}.json")
    with open(path, "w") as f:
        json.dump(config, f)
    return start([binary], 0, env=dict(os.environ, BALANCER_CONFIG=path, BALANCER_LISTEN=config["listen"], BALANCER_DISCOVERY=config["discovery"]))


def haproxy(folder, port, upstreams):
    path = os.path.join(folder, "haproxy.cfg")
    servers = "\n".join(f"  server s{n} 127.0.0.1:{p} maxconn 1000" for n, p in enumerate(upstreams))
    with open(path, "w") as f:
        f.write(f"""global
  nbthread 1
  maxconn 2000
defaults
  mode http
  timeout connect 250ms
  timeout client 15s
  timeout server 15s
  http-reuse always
frontend door
  bind 127.0.0.1:{port}
  stick-table type string len 32 size 100k expire 60s store http_req_rate(1s)
  http-request track-sc0 req.cook(client)
  http-request deny deny_status 429 if {{ sc_http_req_rate(0) gt 1000000 }}
  default_backend nodes
backend nodes
  balance leastconn
{servers}
""")
    return start(["haproxy", "-db", "-f", path], 0)


LUA = """
local thread = 0
function setup(t) thread = thread + 1; t:set("number", thread) end
local count = 0
function request()
  count = count + 1
  wrk.headers["X-Request-Id"] = string.format("%04x%012x", number, count)
  wrk.headers["Cookie"] = string.format("client=%016x", count % 100)
  return wrk.format("GET", "/preview-fetch/x")
end
wrk.headers["Host"] = "backend.local"
wrk.headers["X-Class"] = "preview-fetch"
wrk.headers["Plan"] = "starter"
wrk.headers["X-Deadline"] = "4000m"
wrk.headers["Quota-Info"] = "units=1,spread=1,first=0"
local refused = 0
function response(status) if status ~= 200 then refused = refused + 1 end end
function done(summary, latency)
  io.write(string.format("RESULT %d %d %d %f\\n", summary.requests, summary.duration, summary.errors.status, latency:percentile(99)))
end
"""


def load(folder, port, seconds):
    path = os.path.join(folder, "load.lua")
    with open(path, "w") as f:
        f.write(LUA)
    cores = ",".join(str(core) for core in (CORES[2:] or CORES))
    out = subprocess.run(["taskset", "-c", cores, "wrk", "-t2", "-c64", f"-d{seconds}s", "-s", path, f"http://127.0.0.1:{port}"], capture_output=True, text=True)
    line = next((line for line in out.stdout.splitlines() if line.startswith("RESULT")), None)
    if line is None:
        sys.exit(f"wrk gave no result: {out.stdout}{out.stderr}")
    requests, micros, errors, p99 = line.split()[1:]
    return int(requests), int(micros) / 1e6, int(errors), float(p99) / 1000


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("programs", nargs="+", metavar="NAME=BINARY", help="builds of the front door")
    arguments = parser.parse_args()
    for tool in ("wrk", "nginx", "haproxy", "taskset"):
        if not shutil.which(tool):
            sys.exit(f"{tool} is missing: install the Debian packages wrk, nginx-light, haproxy and util-linux")
    programs = [program.split("=", 1) for program in arguments.programs] + [["haproxy", None]]
    rows = {name: [] for name, _ in programs}
    with tempfile.TemporaryDirectory() as folder:
        upstreams = [free_port() for _ in range(4)]
        peers = [nginx(folder, upstreams)]
        try:
            for port in upstreams:
                await_port(port)
            for number in range(arguments.rounds):
                for name, binary in programs:
                    port = free_port()
                    proxy = front_door(os.path.abspath(binary), folder, port, upstreams) if binary else haproxy(folder, port, upstreams)
                    try:
                        await_port(port)
                        load(folder, port, 1)
                        before = cpu(proxy.pid)
                        requests, seconds, errors, p99 = load(folder, port, arguments.seconds)
                        spent = cpu(proxy.pid) - before
                    finally:
                        proxy.send_signal(signal.SIGKILL)
                        proxy.wait()
                    row = (requests / seconds, spent / requests * 1e6, p99)
                    rows[name].append(row)
                    print(f"round {number + 1}  {name:12} {row[0]:9.0f} requests/s  {row[1]:6.1f} us CPU a request  p99 {p99:6.2f} ms  {errors} not served", flush=True)
        finally:
            for peer in peers:
                peer.terminate()
                peer.wait()
    first = [statistics.median(column) for column in zip(*rows[programs[0][0]])]
    for name, _ in programs:
        rate, spent, p99 = (statistics.median(column) for column in zip(*rows[name]))
        print(f"median   {name:12} {rate:9.0f} requests/s ({rate / first[0]:.3f})  {spent:6.1f} us CPU a request ({spent / first[1]:.3f})  p99 {p99:6.2f} ms")


main()
