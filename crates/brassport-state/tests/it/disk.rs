//! A disk in memory that loses power or fails.

use brassport_state::files::Files;
use oorandom::Rand64;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// What a device writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone)]
enum Pending {
    Write(usize, Vec<u8>),
    Length(usize),
}

#[derive(Debug, Clone, Default)]
struct Content {
    /// What programs see.
    visible: Vec<u8>,
    /// What a power cut leaves for certain.
    durable: Vec<u8>,
    pending: Vec<Pending>,
}

/// What goes wrong at one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The power goes: nothing works from then on.
    Cut,
    /// The operation fails, and no later one does. A failed sync forgets what it was to write, as Linux does.
    Error(io::ErrorKind),
}

#[derive(Debug, Clone, Default)]
struct Inner {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    pending_names: Vec<(String, Option<usize>)>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    is_off: bool,
}

/// A disk in memory. Clones are handles of one disk.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug)]
pub struct Handle(Disk, usize);

impl Inner {
    /// One operation that changes the disk.
    fn operate(&mut self) -> io::Result<()> {
        if self.is_off {
            return Err(io::Error::other("the power is out"));
        }
        let number = self.operations;
        self.operations += 1;
        match self.fault {
            Some((at, Fault::Cut)) if at == number => {
                self.is_off = true;
                Err(io::Error::other("the power is out"))
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

/// Applies what survives of a pending change: a length as one, a write by sectors.
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
        self.0.lock().expect("no test panics with the lock held")
    }

    /// A disk of its own with the same content, pending writes included, and no fault.
    pub fn copy(&self) -> Disk {
        let mut inner = self.inner().clone();
        (inner.operations, inner.fault, inner.is_off) = (0, None, false);
        Disk(Arc::new(Mutex::new(inner)))
    }

    pub fn arm(&self, at: u64, fault: Fault) {
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

    /// What is found when the power is back: of what was not synced each sector and each name is there or not.
    pub fn after_power_cut(&self, random: &mut Rand64) -> Disk {
        let mut inner = self.inner().clone();
        // None, all, or each by its own coin.
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
        for (name, bound) in std::mem::take(&mut inner.pending_names) {
            if survives(random) {
                match bound {
                    Some(number) => inner.durable_names.insert(name, number),
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
        let result = inner.operate();
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
        let result = inner.operate();
        // The write at which the power goes may be on its way to the device already.
        let in_flight = matches!(inner.fault, Some((at, Fault::Cut)) if at + 1 == inner.operations);
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
        inner.operate()?;
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
        inner.operate()?;
        let number = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), number);
        inner.pending_names.push((to.into(), Some(number)));
        inner.pending_names.push((from.into(), None));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.names.remove(name).is_some() {
            inner.operate()?;
            inner.pending_names.push((name.into(), None));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.operate()?;
        for (name, bound) in std::mem::take(&mut inner.pending_names) {
            match bound {
                Some(number) => inner.durable_names.insert(name, number),
                None => inner.durable_names.remove(&name),
            };
        }
        Ok(())
    }

    fn describe(&self, name: &str) -> String {
        name.to_string()
    }
}
