//! Encoder of frames of action records.

use super::ACTION_RECORD_BYTES;
use crate::interface::Action;

/// Builds a frame of action records.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds a record of an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { request, server, expire_at } => self.record(91, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(server.to_be_bytes());
                out.extend(expire_at.unwrap_or(0.0).to_be_bytes());
            }),
            Action::Reject { request, retry_after } => self.record(83, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(retry_after.to_be_bytes());
            }),
            Action::Fail(request) => self.record(88, instance, |out| out.extend(request.to_be_bytes())),
            Action::Cancel { request, attempt } => self.record(86, instance, |out| {
                out.extend(request.to_be_bytes());
                out.push(*attempt);
            }),
            Action::SetTimer { at, token } => self.record(82, instance, |out| {
                out.extend(at.to_be_bytes());
                out.extend(token.to_be_bytes());
            }),
            Action::WatchServers => self.record(81, instance, |out| out.push(1)),
            Action::Log(text) => self.push_text(84, instance, text),
        }
    }

    /// Adds a record that the decision module of an instance panicked with this message.
    pub fn push_panic(&mut self, instance: u16, text: &str) {
        self.push_text(92, instance, text);
    }

    /// Adds a record that refers to a text in the tail.
    fn push_text(&mut self, code: u8, instance: u16, text: &str) {
        let from = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance, |out| {
            out.extend(from.to_be_bytes());
            out.extend((text.len() as u32).to_be_bytes());
        });
    }

    /// Adds a record, padded with zeros to [`ACTION_RECORD_BYTES`].
    fn record(&mut self, code: u8, instance: u16, fields: impl FnOnce(&mut Vec<u8>)) {
        self.count += 1;
        self.records.push(code);
        self.records.extend(instance.to_be_bytes());
        fields(&mut self.records);
        self.records.resize(self.count as usize * ACTION_RECORD_BYTES, 0);
    }

    /// Returns the encoded frame.
    pub fn into_bytes(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}
