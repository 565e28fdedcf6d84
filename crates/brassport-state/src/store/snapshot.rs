//! A copy of all that is durable at a moment.

use super::tables::{CACHED_NODES, FACTS, HISTORY, IDS, IN_FLIGHT, NODES, PLANS, UNFINISHED};
use super::StoreError;
use crate::database::{begin_write, create_atomically};
use crate::files::Files;
use redb::{ReadTransaction, ReadableTable, TableError};

/// What was durable at a moment. Writes do not wait for it.
pub struct Snapshot {
    pub(super) transaction: ReadTransaction,
}

impl Snapshot {
    /// Copies it into another file, atomically; a file of that name is replaced.
    ///
    /// # Errors
    /// This file can't be read or that one can't be written.
    pub fn copy_to<F: Files>(&self, files: &F, name: &str) -> Result<(), StoreError> {
        create_atomically(files, name, |database| {
            let transaction = begin_write(database)?;
            // A macro, as the tables have keys and values of different types.
            macro_rules! copy {
                ($($table:ident)*) => {$({
                    let mut table = transaction.open_table($table)?;
                    for row in self.transaction.open_table($table)?.iter()? {
                        let (key, value) = row?;
                        table.insert(key.value(), value.value())?;
                    }
                })*};
            }
            copy!(FACTS NODES PLANS HISTORY IDS IN_FLIGHT UNFINISHED);
            // A file of an earlier version does not have this one.
            if !matches!(self.transaction.open_table(CACHED_NODES), Err(TableError::TableDoesNotExist(_))) {
                copy!(CACHED_NODES);
            }
            Ok(transaction.commit()?)
        })
    }
}
