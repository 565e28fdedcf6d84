//! A simulated in-memory disk that can lose power or fail at a chosen operation.

use brassport_state::files::Files;
use oorandom::Rand64;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// The unit that a device writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

/// A change to a file that is not synced yet.
#[derive(Debug, Clone)]
enum Pending {
    /// Bytes written at an offset.
    Write(usize, Vec<u8>),
    /// A new file length in bytes.
    Length(usize),
}

/// The content of a file.
#[derive(Debug, Clone, Default)]
struct Content {
    /// The bytes that reads return.
    visible: Vec<u8>,
    /// The synced bytes, which survive a power cut.
    durable: Vec<u8>,
    /// The changes since the last sync, each of which may or may not survive a power cut.
    pending: Vec<Pending>,
}

/// A fault at one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The power fails: this and all later operations fail.
    PowerCut,
    /// Only this operation fails. A failed sync discards the writes that it should have made durable, as Linux does.
    Error(io::ErrorKind),
}

#[derive(Debug, Clone, Default)]
struct Inner {
    contents: Vec<Content>,
    /// Indices into `contents` by file name.
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Name changes since the last directory sync; `None` is a removed name.
    pending_names: Vec<(String, Option<usize>)>,
    /// The number of operations so far.
    operations: u64,
    /// The fault and the number of the operation at which it occurs.
    fault: Option<(u64, Fault)>,
    is_off: bool,
}

/// An in-memory disk. Clones refer to the same disk.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

/// An open file: its disk and its index in the disk's contents.
#[derive(Debug)]
pub struct Handle(Disk, usize);

impl Inner {
    /// Counts an operation that changes the disk, and fails it if a fault is due.
    fn begin_operation(&mut self) -> io::Result<()> {
        if self.is_off {
            return Err(io::Error::other("the disk has lost power"));
        }
        let number = self.operations;
        self.operations += 1;
        match self.fault {
            Some((at, Fault::PowerCut)) if at == number => {
                self.is_off = true;
                Err(io::Error::other("the disk has lost power"))
            }
            Some((at, Fault::Error(kind))) if at == number => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

fn apply(bytes: &mut Vec<u8>, pending: &Pending) {
    match pending {
        Pending::Write(offset, data) => {
            let end = offset + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(data);
        }
        Pending::Length(length) => bytes.resize(*length, 0),
    }
}

/// Applies the surviving part of a pending change: a new length entirely or not at all, a write sector by sector.
fn apply_torn(bytes: &mut Vec<u8>, pending: &Pending, mut survives: impl FnMut() -> bool) {
    match pending {
        Pending::Length(_) if survives() => apply(bytes, pending),
        Pending::Length(_) => {}
        Pending::Write(offset, data) => {
            let mut at = 0;
            while at < data.len() {
                let end = ((offset + at) / SECTOR_BYTES + 1) * SECTOR_BYTES - offset;
                let end = end.min(data.len());
                if survives() {
                    apply(bytes, &Pending::Write(offset + at, data[at..end].to_vec()));
                }
                at = end;
            }
        }
    }
}

impl Disk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics while holding the lock")
    }

    /// Returns an independent disk with the same content and pending writes, and without a fault.
    pub fn copy(&self) -> Disk {
        let mut inner = self.inner().clone();
        (inner.operations, inner.fault, inner.is_off) = (0, None, false);
        Disk(Arc::new(Mutex::new(inner)))
    }

    /// Schedules a fault at the operation numbered `at`.
    pub fn schedule_fault(&self, at: u64, fault: Fault) {
        self.inner().fault = Some((at, fault));
    }

    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let inner = self.inner();
        inner.contents[inner.names[name]].visible.clone()
    }

    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        inner.contents.push(Content { visible: bytes.clone(), durable: bytes, pending: Vec::new() });
        let number = inner.contents.len() - 1;
        inner.names.insert(name.into(), number);
        inner.durable_names.insert(name.into(), number);
    }

    /// Returns the disk as it is after power returns: each unsynced sector and name change may or may not survive.
    pub fn after_power_cut(&self, random: &mut Rand64) -> Disk {
        let mut inner = self.inner().clone();
        // All are lost, all survive, or each survives with a probability of 1/2.
        let mode = random.rand_range(0..4);
        let survives = |random: &mut Rand64| match mode {
            0 => false,
            1 => true,
            _ => random.rand_range(0..2) == 0,
        };
        for content in &mut inner.contents {
            for pending in std::mem::take(&mut content.pending) {
                apply_torn(&mut content.durable, &pending, || survives(random));
            }
            content.visible.clone_from(&content.durable);
        }
        for (name, index) in std::mem::take(&mut inner.pending_names) {
            if survives(random) {
                match index {
                    Some(index) => inner.durable_names.insert(name, index),
                    None => inner.durable_names.remove(&name),
                };
            }
        }
        inner.names.clone_from(&inner.durable_names);
        (inner.operations, inner.fault, inner.is_off) = (0, None, false);
        Disk(Arc::new(Mutex::new(inner)))
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.inner().contents[self.1].visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let inner = self.0.inner();
        let offset = offset as usize;
        let found = inner.contents[self.1].visible.get(offset..offset + out.len());
        out.copy_from_slice(found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.change(Pending::Length(len as usize))
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut inner = self.0.inner();
        let result = inner.begin_operation();
        let is_off = inner.is_off;
        let content = &mut inner.contents[self.1];
        match result {
            Ok(()) => {
                let pending = std::mem::take(&mut content.pending);
                pending.iter().for_each(|pending| apply(&mut content.durable, pending));
                Ok(())
            }
            Err(error) => {
                if !is_off {
                    content.pending.clear();
                }
                Err(error)
            }
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.change(Pending::Write(offset as usize, data.to_vec()))
    }
}

impl Handle {
    fn change(&self, pending: Pending) -> Result<(), io::Error> {
        let mut inner = self.0.inner();
        let result = inner.begin_operation();
        // The write during which the power fails may already have reached the device.
        let in_flight = matches!(inner.fault, Some((at, Fault::PowerCut)) if at + 1 == inner.operations);
        if result.is_ok() || in_flight {
            let content = &mut inner.contents[self.1];
            apply(&mut content.visible, &pending);
            content.pending.push(pending);
        }
        result
    }
}

impl Files for Disk {
    type File = Handle;

    fn open(&self, name: &str) -> io::Result<Handle> {
        let number = self.inner().names.get(name).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(Handle(self.clone(), number))
    }

    fn create(&self, name: &str) -> io::Result<Handle> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        inner.contents.push(Content::default());
        let number = inner.contents.len() - 1;
        inner.names.insert(name.into(), number);
        inner.pending_names.push((name.into(), Some(number)));
        Ok(Handle(self.clone(), number))
    }

    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        let inner = self.inner();
        Ok(inner.names.get(name).map(|number| inner.contents[*number].visible.len() as u64))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        let number = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), number);
        inner.pending_names.push((to.into(), Some(number)));
        inner.pending_names.push((from.into(), None));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.names.remove(name).is_some() {
            inner.begin_operation()?;
            inner.pending_names.push((name.into(), None));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        for (name, index) in std::mem::take(&mut inner.pending_names) {
            match index {
                Some(index) => inner.durable_names.insert(name, index),
                None => inner.durable_names.remove(&name),
            };
        }
        Ok(())
    }

    fn describe(&self, name: &str) -> String {
        name.to_string()
    }
}
