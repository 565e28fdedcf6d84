//! The control socket: line-delimited JSON on a Unix socket, for the user who runs the appliance alone. It runs on a
//! thread of its own, holds a bounded part of the memory, and drops a client that stops reading.

use crate::keeper::{Job, News, Reply};
use crate::looker::unix_ms;
use crate::protocol::{
    self, Answer, Ask, BookNow, Event, History, Nodes, PlanRow, Plans, Problem, Question, Status,
};
use crate::protocol::{Unfinished, LINE_LIMIT, VERSION};
use crate::site::Site;
use brassport_state::model::{Action, State};
use serde::Serialize;
use serde_json::Value;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{broadcast, mpsc, oneshot, Semaphore};

/// Clients at a time; a further one is told so and closed.
const CLIENTS: usize = 16;
/// How long a client may take to read an answer.
const WRITE: Duration = Duration::from_secs(2);
/// How long the program's other threads may take for one.
const ANSWER: Duration = Duration::from_secs(10);

/// What the door's thread is told.
pub enum Told {
    News(News),
    Status(oneshot::Sender<Status>),
    Book(oneshot::Sender<BookNow>),
    Stop { now: bool },
}

pub struct Context {
    pub told: mpsc::UnboundedSender<Told>,
    pub jobs: SyncSender<Job>,
    pub events: broadcast::Sender<Event>,
    pub site: Site,
}

/// Listens at this path, in the place of a socket that a crash left behind; the caller holds the directory's lock.
///
/// # Errors
/// The socket cannot be made.
pub fn start(path: &Path, user: u32, context: Context) -> Result<(), String> {
    let told = |error: std::io::Error| format!("cannot listen on {}: {error}", path.display());
    match fs::remove_file(path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(told(error)),
        _ => {}
    }
    let listener = std::os::unix::net::UnixListener::bind(path).map_err(told)?;
    // The peer's user is checked too, from the first connection on.
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(told)?;
    listener.set_nonblocking(true).map_err(told)?;
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            runtime.block_on(accept(listener, user, Arc::new(context)));
        }
    };
    thread::Builder::new().name("control".into()).spawn(serve).map(drop).map_err(told)
}

async fn accept(listener: std::os::unix::net::UnixListener, user: u32, context: Arc<Context>) {
    let Ok(listener) = UnixListener::from_std(listener) else { return };
    let places = Arc::new(Semaphore::new(CLIENTS));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Guards against a spin where the system is out of descriptors.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Guards against other users, whatever the rights of the directory. Root may do anything anyway.
        let who = match stream.peer_cred() {
            Ok(peer) if peer.uid() == user || peer.uid() == 0 => user_name(peer.uid()),
            _ => {
                refuse(&mut stream, Problem::new("forbidden", "the appliance belongs to another user")).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            let problem = format!("{CLIENTS} consoles are attached already; close one");
            refuse(&mut stream, Problem::new("busy", problem)).await;
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let (read, write) = stream.into_split();
            serve(read, write, &who, &context).await;
            drop(place);
        });
    }
}

async fn refuse(stream: &mut UnixStream, problem: Problem) {
    let line = line(&Answer { id: None, ok: None, error: Some(problem), event: None });
    // One short line fits the socket's buffer; a client that is gone already needs none.
    let _ = tokio::time::timeout(WRITE, stream.write_all(&line)).await;
}

/// The user's name, as the system's list has it.
fn user_name(uid: u32) -> String {
    let list = fs::read_to_string("/etc/passwd").unwrap_or_default();
    let named = list.lines().find_map(|line| {
        let mut fields = line.split(':');
        let name = fields.next()?;
        (fields.nth(1)?.parse() == Ok(uid)).then(|| name.to_string())
    });
    let usable =
        |name: &String| name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    named.filter(|name| !name.is_empty() && usable(name)).unwrap_or_else(|| format!("uid-{uid}"))
}

fn line<T: Serialize>(value: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).expect("plain data has a form in JSON");
    line.push(b'\n');
    line
}

async fn serve(read: OwnedReadHalf, mut write: OwnedWriteHalf, who: &str, context: &Context) {
    let mut read = BufReader::new(read);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        // Guards the memory against a line without an end.
        let mut limited = (&mut read).take(LINE_LIMIT as u64);
        match limited.read_until(b'\n', &mut bytes).await {
            Ok(1..) if bytes.ends_with(b"\n") => {}
            Ok(1..) if bytes.len() >= LINE_LIMIT => {
                let problem = Problem::new("too_long", format!("a line has at most {LINE_LIMIT} bytes"));
                let _ =
                    send(&mut write, &Answer { id: None, ok: None, error: Some(problem), event: None }).await;
                return;
            }
            _ => return,
        }
        let (id, answer) = match serde_json::from_slice::<Question>(&bytes) {
            Ok(question) if question.v != VERSION => {
                let problem =
                    format!("this program speaks version {VERSION}, the question is of {}", question.v);
                (Some(question.id), Err(Problem::new("version", problem)))
            }
            Ok(Question { ask: Ask::Subscribe, id, .. }) => {
                let events = context.events.subscribe();
                let ok = Answer { id: Some(id), ok: Some(Value::Null), error: None, event: None };
                if send(&mut write, &ok).await {
                    follow(&mut read, &mut write, events).await;
                }
                return;
            }
            Ok(question) => (Some(question.id), answer(question.ask, who, context).await),
            Err(error) => (None, Err(Problem::new("invalid", format!("not a question: {error}")))),
        };
        let answer = match answer {
            Ok(ok) => Answer { id, ok: Some(ok), error: None, event: None },
            Err(error) => Answer { id, ok: None, error: Some(error), event: None },
        };
        if !send(&mut write, &answer).await {
            return;
        }
    }
}

/// Whether the client took it in time.
async fn send(write: &mut OwnedWriteHalf, answer: &Answer) -> bool {
    matches!(tokio::time::timeout(WRITE, write.write_all(&line(answer))).await, Ok(Ok(())))
}

/// Hands events on until the client closes, or has missed some.
async fn follow(
    read: &mut BufReader<OwnedReadHalf>,
    write: &mut OwnedWriteHalf,
    mut events: broadcast::Receiver<Event>,
) {
    let mut ignored = [0; 256];
    loop {
        let event = tokio::select! {
            read = read.read(&mut ignored) => match read {
                Ok(1..) => continue,
                _ => return,
            },
            event = events.recv() => event,
        };
        let answer = match event {
            Ok(event) => Answer { id: None, ok: None, error: None, event: Some(event) },
            Err(broadcast::error::RecvError::Closed) => return,
            Err(broadcast::error::RecvError::Lagged(missed)) => {
                let problem = Problem::new("lagged", format!("{missed} events were missed; subscribe again"));
                let _ = send(write, &Answer { id: None, ok: None, error: Some(problem), event: None }).await;
                return;
            }
        };
        if !send(write, &answer).await {
            return;
        }
    }
}

/// Has the keeper do a job. It is asked without waiting: this thread serves other clients too.
async fn keeper<T>(context: &Context, job: impl FnOnce(Reply<T>) -> Job) -> Result<T, Problem> {
    let (reply, answer) = oneshot::channel();
    let busy = || Problem::new("busy", "the state has too much to write; try again, under the same id");
    context.jobs.try_send(job(reply)).map_err(|_| busy())?;
    match tokio::time::timeout(ANSWER, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(Problem::new("ending", "the program ends; try again, under the same id")),
        Err(_) => Err(Problem::new(
            "slow",
            "the disk takes too long; ask again under the same id what became of it",
        )),
    }
}

async fn answer(ask: Ask, who: &str, context: &Context) -> Result<Value, Problem> {
    let gone = |_| Problem::new("ending", "the program ends");
    Ok(match ask {
        Ask::Status => {
            let (reply, status) = oneshot::channel();
            context.told.send(Told::Status(reply)).map_err(|_| gone(()))?;
            let status = tokio::time::timeout(ANSWER, status).await;
            value(
                status
                    .map_err(|_| Problem::new("slow", "the door does not answer"))?
                    .map_err(|_| gone(()))?,
            )
        }
        Ask::Book => {
            let (reply, book) = oneshot::channel();
            context.told.send(Told::Book(reply)).map_err(|_| gone(()))?;
            let book = tokio::time::timeout(ANSWER, book).await;
            value(book.map_err(|_| Problem::new("slow", "the door does not answer"))?.map_err(|_| gone(()))?)
        }
        Ask::Change { mut change } => {
            (change.who, change.at_ms) = (who.to_string(), unix_ms());
            check_plan(&change.action, Some(&context.site))?;
            value(keeper(context, |reply| Job::Change(change, reply)).await?)
        }
        Ask::Nodes => value(nodes(&*keeper(context, Job::Nodes).await?)),
        Ask::Plans => value(plans(&*keeper(context, Job::Nodes).await?, Some(&context.site))),
        Ask::History { before, limit } => {
            let entries = keeper(context, |reply| Job::History { before, limit, reply }).await?;
            value(History { entries })
        }
        Ask::Unfinished => value(unfinished(keeper(context, Job::Unfinished).await?)),
        Ask::ClearUnfinished { upto } => {
            value(keeper(context, |reply| Job::ClearUnfinished(upto, reply)).await?)
        }
        Ask::Backup { directory, name } => {
            let directory = directory.into();
            value(keeper(context, |reply| Job::Backup { directory, name, reply }).await?)
        }
        Ask::Stop { now } => {
            context.told.send(Told::Stop { now }).map_err(|_| gone(()))?;
            Value::Null
        }
        Ask::Subscribe => Value::Null,
    })
}

pub fn value<T: Serialize>(value: T) -> Value {
    serde_json::to_value(value).expect("plain data has a form in JSON")
}

/// A studio's plan must be one of the site's, where the site is known.
pub fn check_plan(action: &Action, site: Option<&Site>) -> Result<(), Problem> {
    match (action, site) {
        (Action::SetPlan { plan: Some(plan), .. }, Some(site)) if !site.plans.contains(plan) => {
            let known = site.plans.join(", ");
            Err(Problem::new("invalid", format!("there is no plan '{plan}'; the site's file has: {known}")))
        }
        _ => Ok(()),
    }
}

pub fn nodes(state: &State) -> Nodes {
    Nodes { revision: state.revision, nodes: state.nodes.clone() }
}

pub fn plans(state: &State, site: Option<&Site>) -> Plans {
    let row = |(at, (name, plan)): (usize, (&String, &brassport_policy::Plan))| PlanRow {
        name: name.clone(),
        units_per_s: plan.rate,
        burst: plan.burst,
        open: plan.max_in_flight,
        default: site.is_some_and(|site| site.default_plan == at),
    };
    let rows = site.map(|site| site.plans.iter().zip(&site.settings.plans).enumerate().map(row).collect());
    let studios = state.plans.iter().map(|(studio, plan)| (format!("{studio:016x}"), plan.clone()));
    Plans { plans: rows.unwrap_or_default(), studios: studios.collect() }
}

pub fn unfinished(rows: Vec<(u64, brassport_state::store::Sent)>) -> Vec<protocol::Unfinished> {
    rows.into_iter().map(|(number, sent)| Unfinished { number, sent }).collect()
}
