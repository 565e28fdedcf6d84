//! The console in a real pseudo-terminal, on a running appliance.

mod common;

use common::{exit, send, status, Node, Site, PATIENCE};
use portable_pty::{native_pty_system, Child, CommandBuilder, MasterPty, PtySize};
use std::io::{Read, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the terminal shows, and everything that was written to it.
struct Shown {
    parser: vt100::Parser,
    written: Vec<u8>,
    closed: bool,
}

struct Terminal {
    shown: Arc<(Mutex<Shown>, Condvar)>,
    keys: Box<dyn Write + Send>,
    master: Box<dyn MasterPty + Send>,
    console: Box<dyn Child + Send + Sync>,
}

fn size(cols: u16, rows: u16) -> PtySize {
    PtySize { rows, cols, pixel_width: 0, pixel_height: 0 }
}

impl Terminal {
    fn open(site: &Site, cols: u16, rows: u16) -> Terminal {
        Terminal::run(&["--state", site.path().to_str().expect("text"), "console"], cols, rows)
    }

    fn run(words: &[&str], cols: u16, rows: u16) -> Terminal {
        let pair = native_pty_system().openpty(size(cols, rows)).expect("a pseudo-terminal");
        let mut command = CommandBuilder::new(env!("CARGO_BIN_EXE_brassport-appliance"));
        command.args(words);
        command.env("TERM", "xterm-256color");
        let console = pair.slave.spawn_command(command).expect("the console starts");
        drop(pair.slave);
        let parser = vt100::Parser::new(rows, cols, 0);
        let shown = Shown { parser, written: Vec::new(), closed: false };
        let shown = Arc::new((Mutex::new(shown), Condvar::new()));
        let mut reader = pair.master.try_clone_reader().expect("a reader");
        let to = shown.clone();
        thread::spawn(move || {
            let mut bytes = [0; 4096];
            loop {
                let read = reader.read(&mut bytes).unwrap_or(0);
                let mut shown = to.0.lock().expect("no panic with the lock held");
                shown.parser.process(&bytes[..read]);
                shown.written.extend(&bytes[..read]);
                shown.closed = read == 0;
                to.1.notify_all();
                if read == 0 {
                    return;
                }
            }
        });
        let keys = pair.master.take_writer().expect("a writer");
        Terminal { shown, keys, master: pair.master, console }
    }

    /// Waits until the screen is as wanted, and returns it.
    fn wait(&self, what: &str, wanted: impl Fn(&Shown) -> bool) -> String {
        let began = Instant::now();
        let mut shown = self.shown.0.lock().expect("no panic with the lock held");
        while !wanted(&shown) {
            assert!(began.elapsed() < PATIENCE, "no {what} in\n{}", shown.parser.screen().contents());
            shown = self.shown.1.wait_timeout(shown, Duration::from_millis(100)).expect("no panic").0;
        }
        shown.parser.screen().contents()
    }

    fn see(&self, text: &str) -> String {
        self.wait(text, |shown| shown.parser.screen().contents().contains(text))
    }

    fn press(&mut self, keys: &str) {
        self.keys.write_all(keys.as_bytes()).expect("the terminal takes keys");
        self.keys.flush().expect("the terminal takes keys");
    }

    /// The console has ended and left the terminal as it was.
    fn put_back(&mut self) {
        self.console.wait().expect("it ends");
        self.wait("end", |shown| shown.closed);
        let shown = self.shown.0.lock().expect("no panic with the lock held");
        assert!(!shown.parser.screen().alternate_screen(), "the other screen is left");
        assert!(!shown.parser.screen().hide_cursor(), "the cursor is back");
    }
}

#[test]
fn a_node_is_drained_from_the_console_in_a_terminal_that_changes_its_size() {
    let mut site = Site::new();
    site.start();
    let node = Node::start();
    site.add("loft-1", node.address);
    let mut terminal = Terminal::open(&site, 80, 24);
    terminal.see("loft-1");
    // The last line comes last: what is read before may be half a picture.
    let screen = terminal.see("? help");
    assert!(screen.lines().count() <= 24, "{screen}");
    terminal.press("?");
    terminal.see("Shift-Tab");
    terminal.press(" d");
    terminal.see("Drain loft-1?");
    terminal.press("y");
    terminal.see("draining");
    assert_eq!(site.json(&["nodes", "list"])["nodes"]["loft-1"]["lifecycle"], "draining");
    terminal.shown.0.lock().expect("no panic").parser.screen_mut().set_size(50, 200);
    terminal.master.resize(size(200, 50)).expect("resized");
    // Two columns: the studios stand beside the fleet.
    terminal.wait("two columns", |shown| {
        let screen = shown.parser.screen().contents();
        screen.lines().any(|line| line.contains("Fleet") && line.contains("Studios"))
    });
    terminal.press("q");
    terminal.put_back();
    assert_eq!(exit(&site.command(&["status"])), 0, "the appliance goes on");
}

#[test]
fn a_console_that_is_killed_while_a_job_is_in_flight_costs_it_nothing() {
    let mut site = Site::new();
    site.start();
    let node = Node::start();
    site.add("loft-1", node.address);
    let mut terminal = Terminal::open(&site, 80, 24);
    terminal.see("loft-1");
    let client = send(site.listen, "job-submit", "job-77");
    let held = node.next();
    terminal.see("job-77");
    // On Unix this is SIGHUP with SIGKILL behind it.
    terminal.console.kill().expect("killed");
    terminal.console.wait().expect("ended");
    held.answer();
    assert_eq!(status(client), 200);
    assert_eq!(site.json(&["status"])["classes"]["job-submit"]["served"], 1);
    assert!(node.requests.try_recv().is_err(), "it ran once");
}

#[test]
fn a_signal_and_an_appliance_that_ends_leave_the_terminal_in_order() {
    let mut site = Site::new();
    site.start();
    let mut terminal = Terminal::open(&site, 80, 24);
    terminal.see("Fleet");
    site.kill();
    terminal.see("no appliance runs here");
    site.start();
    terminal.wait("a new picture", |shown| !shown.parser.screen().contents().contains("no appliance"));
    let pid = terminal.console.process_id().expect("it runs").to_string();
    let sent = std::process::Command::new("kill").args(["-TERM", &pid]).status().expect("kill");
    assert!(sent.success());
    terminal.put_back();
}

#[test]
fn without_a_terminal_it_says_what_to_do() {
    let site = Site::new();
    let output = site.command(&["console"]);
    assert_eq!(exit(&output), 1);
    assert!(String::from_utf8_lossy(&output.stderr).contains("needs a terminal"), "{output:?}");
}

#[test]
fn try_shows_a_site_under_load_and_sums_it_up_when_it_is_left() {
    let mut terminal = Terminal::run(&["try", "--for", "600s"], 120, 30);
    terminal.see("Fleet (3)");
    terminal.see("0000000000000011");
    terminal.press("q");
    terminal.put_back();
    let shown = terminal.shown.0.lock().expect("no panic with the lock held");
    let screen = shown.parser.screen().contents();
    assert!(screen.contains("effects at most once: kept"), "{screen}");
}
