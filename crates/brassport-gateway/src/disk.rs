//! The disk's thread: the one owner of a voter's store. A disk that hangs holds up this thread and nobody else.

use brassport_config_store::consensus::{DurableState, Record};
use brassport_config_store::store::Store;
use brassport_types::DiskId;
use std::path::PathBuf;
use std::sync::mpsc as std_mpsc;
use tokio::sync::mpsc;

/// What the disk says.
#[derive(Debug)]
pub enum Told {
    /// It is open: its number, and what was found.
    Open(DiskId, DurableState),
    /// A write is synced, or failed.
    Written(u64, bool),
}

/// Writes that wait for the disk.
pub enum Disk {
    /// A file, with a thread of its own.
    File(std_mpsc::Sender<(u64, Record)>),
    /// None: what is kept lives as long as the process.
    Memory(mpsc::UnboundedSender<Told>),
}

impl Disk {
    /// Opens the store in a folder, or keeps all in memory.
    pub fn open(folder: Option<PathBuf>, new_disk: DiskId, told: mpsc::UnboundedSender<Told>) -> Disk {
        let Some(folder) = folder else {
            let _ = told.send(Told::Open(new_disk, DurableState::empty()));
            return Disk::Memory(told);
        };
        let (jobs, waiting) = std_mpsc::channel();
        std::thread::spawn(move || keep(folder, new_disk, &told, &waiting));
        Disk::File(jobs)
    }

    /// Keeps a record; that it is synced, or failed, is told with the number.
    pub fn keep(&self, number: u64, record: Record) {
        match self {
            // A thread that is no more has told why.
            Disk::File(jobs) => drop(jobs.send((number, record))),
            Disk::Memory(told) => drop(told.send(Told::Written(number, true))),
        }
    }
}

fn keep(
    folder: PathBuf,
    new_disk: DiskId,
    told: &mpsc::UnboundedSender<Told>,
    waiting: &std_mpsc::Receiver<(u64, Record)>,
) {
    let mut store = loop {
        match Store::open(&folder, new_disk) {
            Ok((store, found)) => {
                let _ = told.send(Told::Open(store.disk(), found));
                break store;
            }
            Err(fault) => {
                log::error!("the store can't be opened, this machine has no vote: {fault}");
                std::thread::sleep(std::time::Duration::from_millis(500));
            }
        }
    };
    let mut refuses = false;
    while let Ok((number, record)) = waiting.recv() {
        let kept = store.append(&record);
        // Said once, not at each record.
        match &kept {
            Err(fault) if !refuses => log::error!("a record was not kept: {fault}"),
            Ok(()) if refuses => log::warn!("the disk takes records again"),
            _ => {}
        }
        refuses = kept.is_err();
        if told.send(Told::Written(number, kept.is_ok())).is_err() {
            return;
        }
    }
}
