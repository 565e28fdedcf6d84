//! Asks a running appliance over its control socket; where none runs, what needs none is asked of the state itself.

use crate::keeper::{change_problem, problem};
use crate::place::{Place, STATE};
use crate::protocol::{Answer, Ask, Problem, Question, LINE_LIMIT, VERSION};
use crate::{control, looker, run, site, Failure};
use brassport_state::files::{Directory, Files};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(15);

/// A connection to a running appliance.
pub struct Client {
    stream: BufReader<UnixStream>,
    next: u64,
}

impl Client {
    /// `None` if no appliance runs here.
    ///
    /// # Errors
    /// One that runs cannot be asked.
    pub fn connect(place: &Place) -> Result<Option<Client>, Failure> {
        let path = place.socket().map_err(Failure::failed)?;
        match UnixStream::connect(&path) {
            Ok(stream) => {
                let bounded =
                    stream.set_read_timeout(Some(PATIENCE)).and(stream.set_write_timeout(Some(PATIENCE)));
                bounded.map_err(|error| Failure::failed(format!("{}: {error}", path.display())))?;
                Ok(Some(Client { stream: BufReader::new(stream), next: 0 }))
            }
            Err(error)
                if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
            {
                Ok(None)
            }
            Err(error) => Err(Failure::failed(format!("cannot connect to {}: {error}", path.display()))),
        }
    }

    /// Sets how long an answer may take.
    ///
    /// # Errors
    /// What the system says.
    pub fn patience(&mut self, time: Duration) -> Result<(), String> {
        let stream = self.stream.get_ref();
        let set = stream.set_read_timeout(Some(time)).and(stream.set_write_timeout(Some(time)));
        set.map_err(|error| error.to_string())
    }

    /// # Errors
    /// The appliance refused, or ended meanwhile.
    pub fn ask(&mut self, ask: Ask) -> Result<Value, Failure> {
        self.next += 1;
        let lost = |error: io::Error| Failure::failed(format!("the appliance does not answer: {error}"));
        let mut line = serde_json::to_vec(&Question { v: VERSION, id: self.next, ask })
            .map_err(|error| Failure::failed(error.to_string()))?;
        line.push(b'\n');
        // A refusal may stand there before the question was taken: what it says is worth more than the broken pipe.
        let written = self.stream.get_mut().write_all(&line);
        let mut answer = Vec::new();
        (&mut self.stream).take(LINE_LIMIT as u64).read_until(b'\n', &mut answer).map_err(lost)?;
        if answer.is_empty() {
            written.map_err(lost)?;
            return Err(Failure::failed("the appliance ended before it answered".into()));
        }
        let answer: Answer = serde_json::from_slice(&answer)
            .map_err(|error| Failure::failed(format!("the appliance's answer makes no sense: {error}")))?;
        match (answer.ok, answer.error) {
            (_, Some(problem)) => Err(Failure::of(&problem)),
            (ok, None) => Ok(ok.unwrap_or(Value::Null)),
        }
    }
}

/// Asks the running appliance, or the state if none runs.
///
/// # Errors
/// The answer is no, or there is nobody who can tell.
pub fn ask(place: &Place, ask: Ask) -> Result<Value, Failure> {
    match Client::connect(place)? {
        Some(mut client) => client.ask(ask),
        None => ask_state(place, ask),
    }
}

fn ask_state(place: &Place, ask: Ask) -> Result<Value, Failure> {
    if let Ask::Status | Ask::Book | Ask::Stop { .. } | Ask::Subscribe = ask {
        return Err(Failure::not_running(place));
    }
    let _lock = run::lock(place)?;
    let mut store = run::open(place)?;
    let failed = |error| Failure::of(&problem(&error));
    Ok(match ask {
        Ask::Change { mut change } => {
            // The site's file may be yet to be mended; the plan's name is then checked at the start.
            let site = run::site(place).ok();
            control::check_plan(&change.action, site.as_ref()).map_err(|problem| Failure::of(&problem))?;
            (change.who, change.at_ms) = ("offline".into(), looker::unix_ms());
            control::value(store.apply(change).map_err(|error| Failure::of(&change_problem(&error)))?)
        }
        Ask::Nodes => control::value(control::nodes(store.state())),
        Ask::Plans => control::value(control::plans(store.state(), run::site(place).ok().as_ref())),
        Ask::History { before, limit } => {
            let entries = store.history(before, limit).map_err(failed)?;
            control::value(crate::protocol::History { entries })
        }
        Ask::Unfinished => control::value(control::unfinished(store.unfinished().map_err(failed)?)),
        Ask::ClearUnfinished { upto } => {
            let batch = brassport_state::store::Batch { clear_unfinished: Some(upto), ..Default::default() };
            store.write(&batch).map_err(failed)?;
            Value::Null
        }
        Ask::Backup { directory, name } => {
            let files = Directory::open(Path::new(&directory))
                .map_err(|error| Failure::failed(format!("{directory}: {error}")))?;
            store.snapshot().and_then(|all| all.copy_to(&files, &name)).map_err(failed)?;
            Value::Null
        }
        Ask::Status | Ask::Book | Ask::Stop { .. } | Ask::Subscribe => {
            return Err(Failure::not_running(place))
        }
    })
}

/// Brings a backup back: checked whole before anything is touched, in the place of the state, which is kept as
/// `state.redb.old`.
///
/// # Errors
/// The backup is no sound state, or the state is in use.
pub fn restore(place: &Place, backup: &Path, force: bool) -> Result<u64, Failure> {
    const COPY: &str = "restore.tmp";
    let io = |path: &Path, error: io::Error| Failure::failed(format!("{}: {error}", path.display()));
    place.make().map_err(|error| io(&place.path, error))?;
    let _lock = run::lock(place)?;
    let (state, copy) = (place.file(STATE), place.file(COPY));
    if state.exists() && !force {
        let problem =
            format!("{} is there; --force replaces it and keeps it as {STATE}.old", state.display());
        return Err(Failure::of(&Problem::new("exists", problem)));
    }
    std::fs::copy(backup, &copy).map_err(|error| io(backup, error))?;
    let restored = || -> Result<u64, Failure> {
        let files = Directory::open(&place.path).map_err(|error| io(&place.path, error))?;
        let failed = |error| {
            let problem = problem(&error);
            let message = problem.message.replace(&copy.display().to_string(), &backup.display().to_string());
            Failure::of(&Problem { message, ..problem })
        };
        let store = brassport_state::store::Store::open(&files, COPY).map_err(failed)?;
        if state.exists() {
            let old = place.file("state.redb.old");
            let _ = std::fs::remove_file(&old);
            std::fs::hard_link(&state, &old).map_err(|error| io(&old, error))?;
        }
        store.snapshot().and_then(|all| all.copy_to(&files, STATE)).map_err(failed)?;
        Ok(store.state().revision)
    };
    let restored = restored();
    let _ = std::fs::remove_file(&copy);
    restored
}

/// Writes the operators' file and an empty state, or the one of them that is missing, and says which. What is there
/// already is never overwritten.
///
/// # Errors
/// Both are there, or the directory takes no file.
pub fn init(place: &Place, listen: std::net::SocketAddr) -> Result<Vec<&'static str>, Failure> {
    use std::os::unix::fs::OpenOptionsExt;
    let io = |error: io::Error| Failure::failed(format!("{}: {error}", place.path.display()));
    place.make().map_err(io)?;
    let _lock = run::lock(place)?;
    let files = Directory::open(&place.path).map_err(io)?;
    let (path, new) = (place.file(site::FILE), place.file("appliance.toml.new"));
    let (state, file) = (place.file(STATE).exists(), path.exists());
    if state && file {
        let problem = format!("{} is there already, and is left as it is", place.file(STATE).display());
        return Err(Failure::of(&Problem::new("exists", problem)));
    }
    let mut written = Vec::new();
    if file {
        run::site(place)?;
    } else {
        let _ = std::fs::remove_file(&new);
        let mut options = std::fs::OpenOptions::new();
        let mut file = options.write(true).create_new(true).mode(0o600).open(&new).map_err(io)?;
        file.write_all(site::template(listen).as_bytes()).and_then(|()| file.sync_all()).map_err(io)?;
        std::fs::rename(&new, &path).and_then(|()| files.sync()).map_err(io)?;
        written.push(site::FILE);
    }
    if !state {
        brassport_state::store::Store::create(&files, STATE)
            .map_err(|error| Failure::of(&problem(&error)))?;
        written.push(STATE);
    }
    Ok(written)
}
