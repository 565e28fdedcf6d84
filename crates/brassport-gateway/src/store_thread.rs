//! The store's thread: the one owner of a voter's store, so that a disk that hangs delays its writes and nothing else.

use brassport_config_store::consensus::{DurableState, Record};
use brassport_config_store::store::Store;
use brassport_types::DiskId;
use std::path::{Path, PathBuf};
use std::sync::mpsc as std_mpsc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Between two attempts to open a store that can't be opened: an operator may be at work on the disk.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What the store reports to the node.
#[derive(Debug)]
pub enum StoreEvent {
    /// The store is open.
    Opened {
        /// The number that the store has for good.
        disk: DiskId,
        /// What it holds from earlier runs.
        state: DurableState,
    },
    /// A write has ended.
    Persisted(Persisted),
}

/// How one write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Persisted {
    /// The number that the write was submitted under.
    pub number: u64,
    /// Whether the record is synced to the disk; if not, it must not be relied on.
    pub is_synced: bool,
}

/// A record on its way to the disk.
#[derive(Debug)]
struct Write {
    number: u64,
    record: Record,
}

/// Where a node's durable records go.
#[derive(Debug)]
pub enum StoreHandle {
    /// To a file, by a thread of its own.
    Disk(DiskWriter),
    /// Nowhere: what is kept lasts as long as the process.
    Memory(MemoryWriter),
}

/// The queue of writes to the store's thread.
#[derive(Debug)]
pub struct DiskWriter(std_mpsc::Sender<Write>);

/// Acknowledges each write at once.
#[derive(Debug)]
pub struct MemoryWriter(mpsc::UnboundedSender<StoreEvent>);

impl StoreHandle {
    /// Starts a thread that opens the store in this folder, and tries again until it can. A store that has no number yet
    /// gets `new_disk`. Events go to `events`, [`StoreEvent::Opened`] first.
    pub fn on_disk(
        folder: PathBuf,
        new_disk: DiskId,
        events: mpsc::UnboundedSender<StoreEvent>,
    ) -> StoreHandle {
        let (writes, queue) = std_mpsc::channel();
        std::thread::spawn(move || StoreThread { folder, new_disk, events }.run(&queue));
        StoreHandle::Disk(DiskWriter(writes))
    }

    /// An empty store in memory with this number, open at once: a machine without a disk that may still vote.
    pub fn in_memory(disk: DiskId, events: mpsc::UnboundedSender<StoreEvent>) -> StoreHandle {
        let _ = events.send(StoreEvent::Opened { disk, state: DurableState::empty() });
        StoreHandle::closed(events)
    }

    /// A store that is never opened: the node has no vote.
    pub fn closed(events: mpsc::UnboundedSender<StoreEvent>) -> StoreHandle {
        StoreHandle::Memory(MemoryWriter(events))
    }

    /// Submits a record; [`StoreEvent::Persisted`] follows with the same number.
    pub fn persist(&self, number: u64, record: Record) {
        match self {
            // A thread that has ended has logged why.
            StoreHandle::Disk(DiskWriter(writes)) => drop(writes.send(Write { number, record })),
            StoreHandle::Memory(MemoryWriter(events)) => {
                let _ = events.send(StoreEvent::Persisted(Persisted { number, is_synced: true }));
            }
        }
    }
}

/// What the thread runs.
struct StoreThread {
    folder: PathBuf,
    new_disk: DiskId,
    events: mpsc::UnboundedSender<StoreEvent>,
}

impl StoreThread {
    /// Until nobody submits writes, or nobody reads events.
    fn run(self, queue: &std_mpsc::Receiver<Write>) {
        let mut store = open(&self.folder, self.new_disk, &self.events);
        let mut is_failing = false;
        while let Ok(Write { number, record }) = queue.recv() {
            let result = store.append(&record);
            // Once at each change: a full disk fails every record.
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

fn open(folder: &Path, new_disk: DiskId, events: &mpsc::UnboundedSender<StoreEvent>) -> Store {
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
