//! The console: a client of the running appliance. Closing or killing it touches nothing but itself.

mod screen;

use crate::client::Client;
use crate::place::Place;
use crate::protocol::{Ask, Status};
use crate::Failure;
use brassport_state::model::Change;
use brassport_state::store::Done;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use screen::{Key, Screen, Wish};
use std::io::{self, IsTerminal};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};

/// Between two pictures of the program.
const PICTURE: Duration = Duration::from_millis(500);
/// Between two looks for keys and answers.
const LOOK: Duration = Duration::from_millis(50);
/// How long an answer may take before the connection counts as lost.
const PATIENCE: Duration = Duration::from_secs(3);

/// What the asking thread hears of the program.
enum News {
    Picture(Box<Status>),
    Said { text: String, failed: bool },
    Lost(String),
}

/// Shows the console until the operator leaves, or until `over`.
///
/// # Errors
/// There is no terminal, or it fails.
pub fn run(place: &Place, over: &AtomicBool) -> Result<(), Failure> {
    if !io::stdout().is_terminal() || !io::stdin().is_terminal() {
        return Err(Failure::failed("the console needs a terminal; see `status` and `status --json`".into()));
    }
    let (wishes, wished) = channel();
    let (tell, news) = channel();
    let asked = place.clone();
    thread::spawn(move || ask(&asked, &wished, &tell));
    // Guards against a terminal that is left raw by a signal; a panic is covered by `ratatui::init`.
    let signalled = Arc::new(AtomicBool::new(false));
    let seen = signalled.clone();
    thread::spawn(move || wait_for_signal(&seen));
    let mut terminal =
        ratatui::try_init().map_err(|error| Failure::failed(format!("cannot use the terminal: {error}")))?;
    let shown = show(&mut terminal, &wishes, &news, || {
        over.load(Ordering::Relaxed) || signalled.load(Ordering::Relaxed)
    });
    // A terminal that is gone needs nothing put back.
    let _ = ratatui::try_restore();
    match shown {
        // The other end of the terminal has closed: an ssh that was lost ends the console in order.
        Err(error) if error.raw_os_error() == Some(5) => Ok(()),
        shown => shown.map_err(|error| Failure::failed(format!("the terminal: {error}"))),
    }
}

fn wait_for_signal(seen: &AtomicBool) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
    runtime.block_on(async {
        let kinds = [SignalKind::terminate(), SignalKind::hangup()];
        let (Ok(mut terminate), Ok(mut hang_up)) = (signal(kinds[0]), signal(kinds[1])) else { return };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = hang_up.recv() => {}
        }
        seen.store(true, Ordering::Relaxed);
    });
}

fn show(
    terminal: &mut ratatui::DefaultTerminal,
    wishes: &Sender<Wish>,
    news: &Receiver<News>,
    over: impl Fn() -> bool,
) -> io::Result<()> {
    // https://no-color.org: set and not empty.
    let mut screen = Screen::new(std::env::var_os("NO_COLOR").is_none_or(|value| value.is_empty()));
    while !over() {
        for news in news.try_iter() {
            match news {
                News::Picture(status) => screen.take(*status),
                News::Said { text, failed } => screen.say(text, failed),
                News::Lost(problem) => screen.lose(problem),
            }
        }
        terminal.draw(|frame| screen.draw(frame))?;
        if !event::poll(LOOK)? {
            continue;
        }
        let Event::Key(pressed) = event::read()? else { continue };
        if pressed.kind == KeyEventKind::Release {
            continue;
        }
        let control = pressed.modifiers.contains(KeyModifiers::CONTROL);
        let key = match pressed.code {
            // Raw mode hands Ctrl-C over as a key; it means what it always means.
            KeyCode::Char('c') if control => return Ok(()),
            KeyCode::Char(letter) if !control => Key::Char(letter),
            KeyCode::Up => Key::Up,
            KeyCode::Down => Key::Down,
            KeyCode::Tab | KeyCode::Right => Key::Next,
            KeyCode::BackTab | KeyCode::Left => Key::Previous,
            KeyCode::Enter => Key::Enter,
            KeyCode::Esc => Key::Escape,
            KeyCode::Backspace => Key::Backspace,
            _ => continue,
        };
        match screen.key(key) {
            Some(Wish::Leave) => return Ok(()),
            // The asking thread lives as long as this one listens.
            Some(wish) => drop(wishes.send(wish)),
            None => {}
        }
    }
    Ok(())
}

/// Asks the program for pictures, and for what the operator wishes. A change whose answer was lost is asked for again
/// under its own id, which makes it at most once.
fn ask(place: &Place, wishes: &Receiver<Wish>, tell: &Sender<News>) {
    let mut client: Option<Client> = None;
    let mut pending: Option<Ask> = None;
    let mut number = 0_u64;
    let mut due = Instant::now();
    loop {
        match wishes.recv_timeout(due.saturating_duration_since(Instant::now())) {
            Ok(Wish::Leave) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(Wish::Stop { now }) => pending = Some(Ask::Stop { now }),
            Ok(Wish::Change { action, seen }) => {
                number += 1;
                let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
                let id = format!("console-{}-{number}-{}", std::process::id(), since.as_nanos());
                let change = Change { id, who: "console".into(), at_ms: 0, seen, action };
                pending = Some(Ask::Change { change });
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        due = Instant::now() + PICTURE;
        if client.is_none() {
            client = Client::connect(place).ok().flatten();
        }
        let told = match &mut client {
            None => Err("no appliance runs here".to_string()),
            Some(open) => open.patience(PATIENCE).and_then(|()| look(open, &mut pending, tell)),
        };
        if let Err(problem) = told {
            client = None;
            if tell.send(News::Lost(problem)).is_err() {
                return;
            }
        }
    }
}

/// What is pending, then a picture. An error means that the connection is of no use any more.
fn look(client: &mut Client, pending: &mut Option<Ask>, tell: &Sender<News>) -> Result<(), String> {
    if let Some(ask) = pending.clone() {
        let (text, failed) = match client.ask(ask) {
            Ok(answer) => match serde_json::from_value::<Done>(answer) {
                Ok(done) => (format!("done: revision {}", done.revision), false),
                Err(_) => ("it ends; what is in hand gets its answer first".to_string(), false),
            },
            Err(failure) if failure.exit == 1 && failure.problem.code == "failed" => {
                return Err(failure.problem.message);
            }
            Err(failure) => (failure.problem.message, true),
        };
        *pending = None;
        // Who left listens no more, and the thread ends at its next turn.
        let _ = tell.send(News::Said { text, failed });
    }
    let answer = client.ask(Ask::Status).map_err(|failure| failure.problem.message)?;
    let status =
        serde_json::from_value(answer).map_err(|error| format!("a picture makes no sense: {error}"))?;
    let _ = tell.send(News::Picture(Box::new(status)));
    Ok(())
}
