//! The thread that owns the store. Everything durable passes through it, in groups: what came while one commit ran is
//! in the next. The door's thread never waits for it but where it chooses to, with a bound.

use crate::protocol::Problem;
use brassport_state::files::Directory;
use brassport_state::known::KnownList;
use brassport_state::model::{Change, State};
use brassport_state::store::{Batch, ChangeError, Done, Entry, Sent, Store, StoreError};
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::oneshot;

/// Jobs that may wait, and how many one commit takes.
const WAITING: usize = 1024;
const GROUP: usize = 256;
/// How long ends of requests may wait for something else to be written with.
const ENDS: Duration = Duration::from_millis(200);

pub type Reply<T> = oneshot::Sender<Result<T, Problem>>;

/// What the keeper is asked for.
pub enum Job {
    Change(Change, Reply<Done>),
    /// An unsafe request is about to be sent; true once that is durable.
    Sending(Sent, oneshot::Sender<bool>),
    /// Nothing of these requests is out any more.
    Ended(Vec<String>),
    /// The last-known list, to be kept in the place of the one before.
    Known(KnownList, oneshot::Sender<bool>),
    Nodes(Reply<Arc<State>>),
    History {
        before: u64,
        limit: usize,
        reply: Reply<Vec<Entry>>,
    },
    Unfinished(Reply<Vec<(u64, Sent)>>),
    ClearUnfinished(u64, Reply<()>),
    Backup {
        directory: PathBuf,
        name: String,
        reply: Reply<()>,
    },
    /// Write what waits, close the file, and end.
    Close,
}

/// What the keeper tells of the store.
pub struct News {
    pub state: Arc<State>,
    pub unfinished: u64,
    pub read_only: Option<String>,
    /// Changes that were made, for the events.
    pub made: Vec<(Change, Done)>,
    /// To be called once the list is in force.
    pub then: Box<dyn FnOnce() + Send>,
}

pub fn problem(error: &StoreError) -> Problem {
    let code = match error {
        StoreError::Missing { .. } => "missing",
        StoreError::Exists { .. } => "exists",
        StoreError::InUse { .. } => "in_use",
        StoreError::Empty { .. } | StoreError::Corrupt { .. } => "damaged",
        StoreError::Newer { .. } => "newer",
        StoreError::Io { .. } => "io",
        StoreError::Broken { .. } => "read_only",
    };
    Problem::new(code, error)
}

pub fn change_problem(error: &ChangeError) -> Problem {
    match error {
        ChangeError::Refused(refusal) => Problem::new(refusal.code(), refusal),
        ChangeError::Store(error) => problem(error),
    }
}

/// Starts the thread; it ends at [`Job::Close`] or when nobody can ask any more.
pub fn start(
    store: Store,
    tell: impl Fn(News) + Send + 'static,
) -> std::io::Result<(SyncSender<Job>, JoinHandle<()>)> {
    let (jobs, asked) = sync_channel(WAITING);
    let thread = thread::Builder::new().name("keeper".into()).spawn(move || keep(store, &asked, &tell))?;
    Ok((jobs, thread))
}

fn keep(mut store: Store, asked: &Receiver<Job>, tell: &impl Fn(News)) {
    let mut ended: Vec<String> = Vec::new();
    loop {
        let first = if ended.is_empty() {
            asked.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            asked.recv_timeout(ENDS)
        };
        let mut closing = matches!(first, Err(RecvTimeoutError::Disconnected));
        let mut group: Vec<Job> = first.into_iter().collect();
        while group.len() < GROUP && !matches!(group.last(), Some(Job::Close)) {
            match asked.try_recv() {
                Ok(job) => group.push(job),
                Err(_) => break,
            }
        }
        let mut batch = Batch::default();
        let (mut changes, mut sent, mut cleared, mut reads) = (vec![], vec![], vec![], vec![]);
        for job in group {
            match job {
                Job::Change(change, reply) => {
                    batch.changes.push(change);
                    changes.push(reply);
                }
                Job::Sending(sending, reply) => {
                    // Guards a request that came back under the name of one that has ended: that end is not its own.
                    ended.retain(|name| *name != sending.request);
                    batch.sending.push(sending);
                    sent.push(reply);
                }
                Job::Ended(names) => ended.extend(names),
                Job::Known(known, reply) => {
                    batch.known = Some(known);
                    sent.push(reply);
                }
                Job::ClearUnfinished(upto, reply) => {
                    batch.clear_unfinished = batch.clear_unfinished.max(Some(upto));
                    cleared.push(reply);
                }
                Job::Close => closing = true,
                read => reads.push(read),
            }
        }
        batch.ended = std::mem::take(&mut ended);
        if !(batch.changes.is_empty()
            && batch.sending.is_empty()
            && batch.ended.is_empty()
            && batch.known.is_none()
            && batch.clear_unfinished.is_none())
        {
            commit(&mut store, batch, changes, sent, cleared, tell);
        }
        for job in reads {
            read(&store, job);
        }
        if closing {
            return;
        }
    }
}

fn commit(
    store: &mut Store,
    batch: Batch,
    changes: Vec<Reply<Done>>,
    sent: Vec<oneshot::Sender<bool>>,
    cleared: Vec<Reply<()>>,
    tell: &impl Fn(News),
) {
    let before = (store.unfinished_count(), store.first_write_error().is_some(), store.state().revision);
    let written = store.write(&batch);
    let durable = written.is_ok();
    for reply in sent {
        // Whoever gave up waiting is told nothing.
        let _ = reply.send(durable);
    }
    let (answers, cleared_answer) = match written {
        Ok(answers) => {
            let refused = |refusal| change_problem(&ChangeError::Refused(refusal));
            (answers.into_iter().map(|answer| answer.map_err(refused)).collect::<Vec<_>>(), Ok(()))
        }
        Err(error) => (changes.iter().map(|_| Err(problem(&error))).collect(), Err(problem(&error))),
    };
    for reply in cleared {
        let _ = reply.send(cleared_answer.clone());
    }
    let made = batch.changes.into_iter().zip(&answers);
    let made = made.filter_map(|(change, answer)| Some((change, *answer.as_ref().ok()?))).collect();
    let then = move || {
        for (reply, answer) in changes.into_iter().zip(answers) {
            let _ = reply.send(answer);
        }
    };
    if before == (store.unfinished_count(), store.first_write_error().is_some(), store.state().revision) {
        then();
    } else {
        tell(News {
            state: Arc::new(store.state().clone()),
            unfinished: store.unfinished_count(),
            read_only: store.first_write_error().map(String::from),
            made,
            then: Box::new(then),
        });
    }
}

fn read(store: &Store, job: Job) {
    // A reply that nobody waits for any more is dropped.
    match job {
        Job::Nodes(reply) => drop(reply.send(Ok(Arc::new(store.state().clone())))),
        Job::History { before, limit, reply } => {
            drop(reply.send(store.history(before, limit.min(1000)).map_err(|error| problem(&error))));
        }
        Job::Unfinished(reply) => drop(reply.send(store.unfinished().map_err(|error| problem(&error)))),
        Job::Backup { directory, name, reply } => match store.snapshot() {
            Err(error) => drop(reply.send(Err(problem(&error)))),
            // Beside the keeper: requests must not wait for a copy.
            Ok(snapshot) => drop(thread::spawn(move || {
                let copied = Directory::open(&directory)
                    .map_err(|error| Problem::new("io", format!("{}: {error}", directory.display())))
                    .and_then(|files| snapshot.copy_to(&files, &name).map_err(|error| problem(&error)));
                drop(reply.send(copied));
            })),
        },
        _ => {}
    }
}
