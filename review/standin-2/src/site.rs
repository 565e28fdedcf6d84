//! A small deployment: doors as processes of their own, backends as processes of their own, and the operator.

use crate::http;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the deploy file says of the only role: its program and its arguments.
const DEPLOY_FILE: &str = "deploy/system.toml";
const ZONES: [&str; 2] = ["kettle-hall", "tank-yard"];

pub type Failure = String;

/// Seconds since 1970 as the machine's clock has them, for lines of several processes.
pub fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// The file that says what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, f64);

impl Record {
    pub fn create(path: &Path) -> Result<Record, Failure> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Record(Arc::new(Mutex::new(file)), unix()))
    }

    /// Writes a line with the seconds since the start of the script, here and on standard output if it is short.
    pub fn line(&self, text: &str) {
        self.at(unix(), text);
    }

    pub fn at(&self, unix: f64, text: &str) {
        if let Ok(mut file) = self.0.lock() {
            let _ = writeln!(file, "{:8.3} {text}", unix - self.1);
        }
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Removed with all that is in it at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, Failure> {
        let path = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix() as u64));
        fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

extern "C" {
    fn prctl(option: i32, signal: u64, _: u64, _: u64, _: u64) -> i32;
}

/// A process that ends with its owner.
pub struct Process(Child);

impl Process {
    /// Starts a process that is killed when this one ends, however it does.
    fn start(command: &mut Command) -> std::io::Result<Process> {
        const PR_SET_PDEATHSIG: i32 = 1;
        const SIGKILL: u64 = 9;
        let ends_with_this_one = || {
            // Only a system call, as is allowed between fork and exec.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
            Ok(())
        };
        // The closure allocates nothing and takes no lock.
        unsafe { command.pre_exec(ends_with_this_one) };
        command.spawn().map(Process)
    }

    /// Writes a line to its standard input.
    pub fn command(&mut self, line: &str) {
        if let Some(input) = &mut self.0.stdin {
            let _ = writeln!(input, "{line}");
        }
    }

    pub fn signal(&self, name: &str) {
        // The shell's own, as not every machine has the program.
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.0.id())]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Door {
    pub ip: Ipv4Addr,
    pub process: Option<Process>,
    has_disk: bool,
    first_start: bool,
}

#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

pub struct Site {
    // Processes end before the folder goes.
    pub backends: Vec<BackendProcess>,
    pub doors: Vec<Door>,
    ports: Ports,
    subnet: (u8, u8),
    /// How many zones the doors and the backends stand in, by turns.
    zones: usize,
    pub record: Record,
    pub folder: Folder,
}

pub struct BackendProcess {
    pub id: String,
    pub process: Process,
    log: PathBuf,
}

/// A run, as a backend's own file has it.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub backend: String,
    pub request: String,
    /// The bytes of `X-Customer` as text; nothing if there was none.
    pub customer: Option<String>,
    pub body_bytes: usize,
}

impl Site {
    /// Lays out doors of which the first `counted` have a disk.
    pub fn new(record: Record, doors: usize, counted: usize, zones: usize) -> Result<Site, Failure> {
        let folder = Folder::create()?;
        let pid = std::process::id();
        for attempt in 0..40u32 {
            let mixed = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt.wrapping_mul(40_503));
            let subnet = (64 + (mixed >> 8) as u8 % 128, (mixed >> 16) as u8);
            let base = 21_000 + (mixed % 9_000) as u16;
            let ports = Ports { front: base, ready: base + 1, control: base + 2, internal: base + 3 };
            let ips: Vec<Ipv4Addr> = (0..doors).map(|n| Ipv4Addr::new(127, subnet.0, subnet.1, 10 + n as u8)).collect();
            let is_free = |ip: &Ipv4Addr| {
                [ports.front, ports.ready, ports.control, ports.internal, 9464]
                    .iter()
                    .all(|port| TcpListener::bind((*ip, *port)).is_ok())
            };
            if !ips.iter().all(is_free) {
                continue;
            }
            let door = |(n, ip): (usize, Ipv4Addr)| Door { ip, process: None, has_disk: n < counted, first_start: true };
            let doors = ips.into_iter().enumerate().map(door).collect();
            return Ok(Site { backends: Vec::new(), doors, ports, subnet, zones, record, folder });
        }
        Err("no free ports".to_owned())
    }

    /// Where clients reach the doors.
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        self.doors.iter().map(|door| SocketAddrV4::new(door.ip, self.ports.front)).collect()
    }

    pub fn control(&self, door: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.doors[door].ip, self.ports.control)
    }

    /// The zone of a door or a backend.
    pub fn zone(&self, n: usize) -> &'static str {
        ZONES[n % self.zones]
    }

    fn settings(&self, n: usize) -> String {
        let Door { ip, has_disk, first_start, .. } = &self.doors[n];
        let Ports { front, ready, control, internal } = self.ports;
        let seeds: String =
            self.doors.iter().take(3).map(|door| format!("  - \"{}:{control}\"\n", door.ip)).collect();
        let zone = self.zone(n);
        let zones: String = ZONES[..self.zones].iter().map(|zone| format!("  {zone}: \"hooghly\"\n")).collect();
        let disk = if *has_disk {
            format!("dataFolder: \"{}\"\n", self.folder.0.join(format!("disk-{n}")).display())
        } else {
            String::new()
        };
        let disk_mb = if *has_disk { "  diskMb: 64\n" } else { "" };
        format!(
            "node: \"edge-{zone}-{n}\"\nrole: \"door\"\nmachineType: \"edge\"\nserves:\n  - \"edge\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"hooghly\"\nzones:\n{zones}\
             listenOn:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n  control: \"{ip}:{control}\"\n\
             internalPorts:\n  - {internal}\n  - {}\nseeds:\n{seeds}firstStart: {first_start}\ncounted: {has_disk}\n\
             limits:\n  cpuPart: 0.35\n  cores: 1\n  memoryMb: 260\n  openFiles: 3000\n  linkMbps: 1000.0\n{disk_mb}{disk}\
             discovery: \"sign_up\"\nentry: \"shared_address\"\nreportEveryS: 1.5\n\
             promises:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"tenants\"\n  - \"quota\"\n\
             survive:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             bounds:\n  - \"seedDelayS=3\"\n  - \"reuseAfterS=2\"\n  - \"inTouchS=3\"\n  - \"confirmS=4\"\n  - \"catchUpS=4\"\n  - \"drainS=2\"\n\
             \x20 - \"graceS=6\"\n  - \"slackS=0.2\"\n  - \"applyS=2\"\n  - \"goBackS=0.25\"\n  - \"stretchS=5\"\n  - \"revokedFail=false\"\n  - \"revokeS=5\"\n\
             \x20 - \"retryRatio=0.2\"\n  - \"retryWindowS=10\"\n  - \"retryExtra=64\"\n  - \"quotaWindowS=5\"\n  - \"quotaExcess=0.1\"\n  - \"quotaExtra=20\"\n  - \"recoverS=15\"\n",
            internal + 15,
        )
    }

    /// Starts a door with the command of the deploy file.
    pub fn start_door(&mut self, n: usize) -> Result<(), Failure> {
        let text = fs::read_to_string(DEPLOY_FILE).map_err(|error| format!("{DEPLOY_FILE}: {error}"))?;
        let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("no command in the deploy file")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let settings = self.folder.0.join(format!("door-{n}.yaml"));
        fs::write(&settings, self.settings(n)).map_err(|error| error.to_string())?;
        if self.doors[n].has_disk {
            fs::create_dir_all(self.folder.0.join(format!("disk-{n}"))).map_err(|error| error.to_string())?;
        }
        let log = self.folder.0.join(format!("door-{n}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(words).env_clear().env("BRASSPORT_CONFIG", &settings).env("LANG", "C.UTF-8");
        for name in ["PATH", "HOME"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        if let Some(level) = std::env::var_os("REVIEW_DOOR_LOG") {
            command.env("BRASSPORT_GATEWAY_LOG", level);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let process = Process::start(&mut command).map_err(|error| format!("{program}: {error}"))?;
        self.record.line(&format!("door {n} at {} started", self.doors[n].ip));
        self.doors[n].process = Some(process);
        self.doors[n].first_start = false;
        Ok(())
    }

    pub fn start_doors(&mut self) -> Result<(), Failure> {
        // Written before the first of them runs: at the first start all get the same settings.
        (0..self.doors.len()).try_for_each(|n| self.start_door(n))
    }

    /// Sends an order until a door gives a clear answer; its status.
    pub fn order(&self, call: &str, built_on: &str, body: &str, limit: Duration) -> Result<u16, Failure> {
        let until = Instant::now() + limit;
        let mut door = 0;
        while Instant::now() < until {
            let mut to = self.control(door % self.doors.len());
            for _ in 0..3 {
                let head = format!(
                    "POST /{call} HTTP/1.1\r\nHost: {to}\r\nX-Built-On: {built_on}\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len()
                );
                let Ok(answer) = http::call(to, &head, body.as_bytes(), Duration::from_secs(1)) else { break };
                let status = answer.status();
                let location = answer.header("location");
                let moved = location.as_deref().and_then(|text| {
                    text.strip_prefix("http://")?.split('/').next()?.parse::<SocketAddrV4>().ok()
                });
                match (status, moved) {
                    (307, Some(address)) => to = address,
                    (200 | 400 | 409 | 412 | 413 | 422, _) => {
                        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                        self.record.line(&format!("order {call} on {built_on}: {status} {text}"));
                        return Ok(status);
                    }
                    _ => break,
                }
            }
            door += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{call} on {built_on}: no clear answer"))
    }

    /// Sends the first configuration, and waits until all doors are ready and in touch.
    pub fn configure(&self, configuration: &str) -> Result<(), Failure> {
        if self.order("Config.Replace", "00000000", configuration, Duration::from_secs(12))? != 200 {
            return Err("the configuration was not taken".to_owned());
        }
        self.until_ready(Duration::from_secs(10))?;
        std::thread::sleep(Duration::from_secs(5));
        Ok(())
    }

    /// Starts a backend as a process of its own.
    pub fn start_backend(&mut self, service: &str, options: &[(&str, String)]) -> Result<(), Failure> {
        let n = self.backends.len();
        let id = format!("i-{:08x}{n:02x}", (unix() * 1000.0) as u64 as u32);
        let ip = Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 100 + n as u8);
        let log = self.folder.0.join(format!("backend-{n}.runs"));
        let controls: Vec<String> = (0..self.doors.len()).map(|door| self.control(door).to_string()).collect();
        // Each begins with another door.
        let first = n % controls.len();
        let controls = [&controls[first..], &controls[..first]].concat().join(",");
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg("backend").args(["--id", &id, "--service", service, "--ip", &ip.to_string(), "--zone", self.zone(n)]);
        command.args(["--controls", &controls, "--runs", &log.display().to_string()]);
        for (name, value) in options {
            command.args([&format!("--{name}"), value]);
        }
        command.stdin(Stdio::piped()).stdout(Stdio::null());
        let process = Process::start(&mut command).map_err(|error| error.to_string())?;
        self.record.line(&format!("backend {id} of {service} at {ip} started"));
        self.backends.push(BackendProcess { id, process, log });
        Ok(())
    }

    /// Waits for a line that a backend writes about itself; when it was written.
    pub fn until_noted(&self, backend: usize, what: &str, limit: Duration) -> Result<f64, Failure> {
        let (until, id) = (Instant::now() + limit, &self.backends[backend].id);
        while Instant::now() < until {
            if let Some(run) = self.runs().iter().find(|run| run.backend == *id && run.request == what) {
                return Ok(run.at);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(format!("backend {id} never came to {what}"))
    }

    /// Makes backends dark: they answer nothing, and a connect to them hangs. All at the same moment, but for some ms.
    pub fn darken(&mut self, backends: &[usize]) -> Result<(), Failure> {
        backends.iter().for_each(|n| self.backends[*n].process.command("dark"));
        for n in backends {
            self.until_noted(*n, "@dark", Duration::from_secs(5))?;
            self.backends[*n].process.signal("STOP");
            self.record.say(&format!("backend {} is dark from here on", self.backends[*n].id));
        }
        Ok(())
    }

    /// All runs that the backends have written down, by their time.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for backend in &self.backends {
            for line in fs::read_to_string(&backend.log).unwrap_or_default().lines() {
                let mut fields = line.split('\t');
                let mut next = || fields.next().unwrap_or_default().to_owned();
                let (at, request, customer, body_bytes) = (next(), next(), next(), next());
                runs.push(Run {
                    at: at.parse().unwrap_or(0.0),
                    backend: backend.id.clone(),
                    request,
                    customer: customer.strip_prefix('=').map(str::to_owned),
                    body_bytes: body_bytes.parse().unwrap_or(0),
                });
            }
        }
        runs.sort_by(|a, b| a.at.total_cmp(&b.at));
        runs
    }

    /// Waits until every door answers that it is ready.
    pub fn until_ready(&self, limit: Duration) -> Result<(), Failure> {
        let until = Instant::now() + limit;
        for door in &self.doors {
            let at = SocketAddrV4::new(door.ip, self.ports.ready);
            let head = format!("GET /ready HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
            while !http::call(at, &head, b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200) {
                if Instant::now() >= until {
                    return Err(format!("the door at {} is not ready", door.ip));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// An id that no other request of this process has.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("{:08x}{:08x}", std::process::id(), LAST.fetch_add(1, Ordering::Relaxed) + 1)
}
