//! The log as the engine reads it: in memory, a mirror of what is on disk.

use brassport_state::log::{Image, Write};
use raft::prelude::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// Where the log is made durable.
pub trait Disk {
    /// Writes, durable when this returns.
    ///
    /// # Errors
    /// One plain line; nothing more may be promised to anybody.
    fn write(&mut self, write: &Write) -> Result<(), String>;
}

/// The mirror.
#[derive(Debug, Default)]
pub struct Log {
    votes: HardState,
    /// Of the entries before the first one at hand; its metadata say up to where, and who votes there.
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Who votes as of what was applied last.
    voters: ConfState,
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().expect("a message in memory has a form")
}

fn parsed<M: protobuf::Message>(bytes: &[u8]) -> Result<M, String> {
    M::parse_from_bytes(bytes).map_err(|error| format!("the log holds what is none of its messages: {error}"))
}

impl Log {
    /// The log of an instance that begins a fleet: it votes alone.
    pub fn first(id: u64) -> Write {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (1, 1);
        metadata.mut_conf_state().voters = vec![id];
        let votes = HardState { term: 1, commit: 1, ..HardState::default() };
        Write { snapshot: Some(bytes(&snapshot)), votes: Some(bytes(&votes)), ..Write::default() }
    }

    /// # Errors
    /// What is read makes no sense.
    pub fn read(image: &Image) -> Result<Log, String> {
        let snapshot: Snapshot = image.snapshot.as_deref().map_or(Ok(Snapshot::default()), parsed)?;
        let votes = image.votes.as_deref().map_or(Ok(HardState::default()), parsed)?;
        let entries =
            image.entries.iter().map(|(_, bytes)| parsed(bytes)).collect::<Result<Vec<Entry>, _>>()?;
        let voters = snapshot.get_metadata().get_conf_state().clone();
        Ok(Log { votes, snapshot, entries, voters })
    }

    /// The same log where only this instance votes: behind a majority that is lost for good. All that is in the log counts
    /// as agreed on from then on, also what was not yet.
    pub fn recovered(&self, id: u64) -> Write {
        let mut snapshot = self.snapshot.clone();
        snapshot.mut_metadata().set_conf_state(ConfState { voters: vec![id], ..ConfState::default() });
        // Guards against entries that bring lost voters back.
        let keep = |entry: &Entry| match entry.get_entry_type() {
            EntryType::EntryNormal => entry.clone(),
            _ => Entry { index: entry.index, term: entry.term, ..Entry::default() },
        };
        let entries = self.entries.iter().map(|entry| (entry.index, bytes(&keep(entry)))).collect();
        // A term of its own: what the lost ones may still say is older.
        let votes = HardState { term: self.votes.term + 1000, vote: 0, ..self.votes.clone() };
        Write { snapshot: Some(bytes(&snapshot)), entries, votes: Some(bytes(&votes)), ..Write::default() }
    }

    /// How many entries are at hand behind the snapshot.
    pub fn length(&self) -> usize {
        self.entries.len()
    }

    pub fn snapshot_at_hand(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Who votes from now on.
    pub fn set_voters(&mut self, voters: ConfState) {
        self.voters = voters;
    }

    pub fn voters(&self) -> &ConfState {
        &self.voters
    }

    fn offset(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Takes this in, and gives what has to be written for it.
    pub fn take(&mut self, snapshot: &Snapshot, entries: &[Entry], votes: Option<&HardState>) -> Write {
        let mut write = Write::default();
        if snapshot.get_metadata().index > 0 {
            write.snapshot = Some(bytes(snapshot));
            self.snapshot = snapshot.clone();
            self.entries.clear();
            self.voters = snapshot.get_metadata().get_conf_state().clone();
        }
        if let Some(first) = entries.first() {
            let kept = (first.index - self.offset() - 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend_from_slice(entries);
            write.entries = entries.iter().map(|entry| (entry.index, bytes(entry))).collect();
        }
        if let Some(votes) = votes {
            self.votes = votes.clone();
            write.votes = Some(bytes(votes));
        }
        write
    }

    /// The engine has committed up to here.
    pub fn commit(&mut self, index: u64) -> Write {
        self.votes.commit = index;
        Write { votes: Some(bytes(&self.votes)), ..Write::default() }
    }

    /// Lets go of the entries up to the one applied last; `state` is what they made.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) -> Option<Write> {
        if applied <= self.offset() {
            return None;
        }
        let mut snapshot = Snapshot::default();
        let term = self.term(applied).ok()?;
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(self.voters.clone());
        snapshot.set_data(state.into());
        self.entries.drain(..(applied - self.offset()) as usize);
        self.snapshot = snapshot;
        // What is in a snapshot is committed: a start that finds an earlier commit on disk finds no sense in it.
        self.votes.commit = self.votes.commit.max(applied);
        let compact = Some((applied + 1, bytes(&self.snapshot)));
        Some(Write { compact, votes: Some(bytes(&self.votes)), ..Write::default() })
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.votes.clone(), self.voters.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.offset() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_index()? + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.offset() - 1) as usize;
        let mut entries = self.entries[from..(high - self.offset() - 1) as usize].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let offset = self.offset();
        match index.cmp(&offset) {
            std::cmp::Ordering::Less => Err(Error::Store(StorageError::Compacted)),
            std::cmp::Ordering::Equal => Ok(self.snapshot.get_metadata().term),
            std::cmp::Ordering::Greater => self
                .entries
                .get((index - offset - 1) as usize)
                .map(|entry| entry.term)
                .ok_or(Error::Store(StorageError::Unavailable)),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.offset() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.offset() + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.offset() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
