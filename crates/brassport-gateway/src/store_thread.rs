//! The thread that owns a voter's store. A hanging disk blocks this thread only, and not the event loop.

use brassport_config_store::consensus::{DurableState, Record};
use brassport_config_store::store::Store;
use brassport_types::DiskId;
use std::path::{Path, PathBuf};
use std::sync::mpsc as std_mpsc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The interval between attempts to open the store. Attempts continue without limit, as an operator may be repairing the
/// disk.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An event that the store reports to the node.
#[derive(Debug)]
pub enum StoreEvent {
    /// The store is open.
    Opened {
        /// The permanent identifier of the store.
        disk: DiskId,
        /// The state from earlier runs of the node.
        state: DurableState,
    },
    /// A write has succeeded or failed.
    Persisted(Persisted),
}

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Persisted {
    /// The number under which the write was submitted.
    pub number: u64,
    /// Whether the record is synced to the disk. If false, the record may be lost, and no message may be sent that
    /// depends on it.
    pub is_synced: bool,
}

/// A queued write.
#[derive(Debug)]
struct Write {
    number: u64,
    record: Record,
}

/// The destination of the records that a node persists.
#[derive(Debug)]
pub enum StoreHandle {
    /// A file, written by a separate thread.
    Disk(DiskWriter),
    /// No file: the state is lost when the process ends.
    Memory(MemoryWriter),
}

/// The sending side of the write queue of the store thread.
#[derive(Debug)]
pub struct DiskWriter(std_mpsc::Sender<Write>);

/// Acknowledges each write immediately, without storing it.
#[derive(Debug)]
pub struct MemoryWriter(mpsc::UnboundedSender<StoreEvent>);

impl StoreHandle {
    /// Starts a thread that opens the store in `folder`, with retries until it succeeds. A new store gets the identifier
    /// `new_disk`. The first event sent to `events` is [`StoreEvent::Opened`].
    pub fn on_disk(
        folder: PathBuf,
        new_disk: DiskId,
        events: mpsc::UnboundedSender<StoreEvent>,
    ) -> StoreHandle {
        let (writes, queue) = std_mpsc::channel();
        std::thread::spawn(move || StoreThread { folder, new_disk, events }.run(&queue));
        StoreHandle::Disk(DiskWriter(writes))
    }

    /// Returns an empty store in memory with the identifier `disk`, and reports it as open. It allows a node without a
    /// disk to vote.
    pub fn in_memory(disk: DiskId, events: mpsc::UnboundedSender<StoreEvent>) -> StoreHandle {
        let _ = events.send(StoreEvent::Opened { disk, state: DurableState::empty() });
        StoreHandle::Memory(MemoryWriter(events))
    }

    /// Returns a store that is never reported as open, for a node that does not vote.
    pub fn disabled(events: mpsc::UnboundedSender<StoreEvent>) -> StoreHandle {
        StoreHandle::Memory(MemoryWriter(events))
    }

    /// Submits a record for writing. [`StoreEvent::Persisted`] with the same number reports the result.
    pub fn persist(&self, number: u64, record: Record) {
        match self {
            // Sending fails only after the store thread has ended, and the thread ends only once its events are no
            // longer read.
            StoreHandle::Disk(DiskWriter(writes)) => drop(writes.send(Write { number, record })),
            StoreHandle::Memory(MemoryWriter(events)) => {
                let _ = events.send(StoreEvent::Persisted(Persisted { number, is_synced: true }));
            }
        }
    }
}

/// The state of the store thread.
struct StoreThread {
    folder: PathBuf,
    new_disk: DiskId,
    events: mpsc::UnboundedSender<StoreEvent>,
}

impl StoreThread {
    /// Writes records until the queue of writes or the channel of events is closed.
    fn run(self, queue: &std_mpsc::Receiver<Write>) {
        let mut store = open_with_retries(&self.folder, self.new_disk, &self.events);
        let mut is_failing = false;
        while let Ok(Write { number, record }) = queue.recv() {
            let result = store.append(&record);
            // Logged only when the result changes: on a full disk, every write fails.
            match &result {
                Err(error) if !is_failing => {
                    log::error!("store write failed error={error:?}", error = error.to_string());
                }
                Ok(()) if is_failing => log::warn!("store write recovered"),
                _ => {}
            }
            is_failing = result.is_err();
            let persisted = Persisted { number, is_synced: result.is_ok() };
            if self.events.send(StoreEvent::Persisted(persisted)).is_err() {
                return;
            }
        }
    }
}

fn open_with_retries(folder: &Path, new_disk: DiskId, events: &mpsc::UnboundedSender<StoreEvent>) -> Store {
    loop {
        match Store::open(folder, new_disk) {
            Ok((store, state)) => {
                let _ = events.send(StoreEvent::Opened { disk: store.disk(), state });
                return store;
            }
            Err(error) => {
                log::error!("store open failed votes=false error={:?}", error.to_string());
                std::thread::sleep(OPEN_RETRY_INTERVAL);
            }
        }
    }
}
