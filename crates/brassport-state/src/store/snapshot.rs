//! Consistent copies of a state.

use super::tables::{CACHED_NODES, FACTS, HISTORY, IDS, IN_FLIGHT, NODES, PLANS, UNFINISHED};
use super::StoreError;
use crate::database::{begin_write, create_atomically};
use crate::files::Files;
use redb::{ReadTransaction, ReadableTable, TableError};

/// The durable content at one point in time. Writes do not wait for a snapshot.
pub struct Snapshot {
    pub(super) transaction: ReadTransaction,
}

impl Snapshot {
    /// Copies the snapshot into another file atomically and replaces an existing file with that name.
    ///
    /// # Errors
    /// The source can't be read or the copy can't be written.
    pub fn copy_to<F: Files>(&self, files: &F, name: &str) -> Result<(), StoreError> {
        create_atomically(files, name, |database| {
            let transaction = begin_write(database)?;
            // A macro instead of a function, as the key and value types differ between tables.
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
            // Files of versions without a last-known list do not have this table.
            if !matches!(self.transaction.open_table(CACHED_NODES), Err(TableError::TableDoesNotExist(_))) {
                copy!(CACHED_NODES);
            }
            Ok(transaction.commit()?)
        })
    }
}
