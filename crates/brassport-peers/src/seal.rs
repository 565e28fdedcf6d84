//! Calls between the processes of a fleet are sealed with the site's shared key: HMAC-SHA-256 over what is called, by whom,
//! when and with what, and over the answer with the call's own number. Nothing is kept secret by it.

use hmac::{Hmac, Mac};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeSet, VecDeque};

/// Bytes of a key.
pub const KEY: usize = 32;
/// By how much the wall clocks of two machines may differ, milliseconds. Calls further apart are refused.
pub const WINDOW: u64 = 120_000;
/// Calls whose numbers are remembered, so that none is taken twice. One that was forgotten and comes again within the window
/// does no harm: a question only prolongs what the leader waits for, and a change is made once by its id.
const NUMBERS: usize = 65_536;

/// A site's key.
#[derive(Clone)]
pub struct Key([u8; KEY]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

/// What goes along with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call<'a> {
    pub path: &'a str,
    /// Who calls: the name of an instance, a door or a person's machine.
    pub from: &'a str,
    /// Wall clock, Unix milliseconds.
    pub at_ms: u64,
    /// Drawn anew for each call.
    pub number: &'a str,
    pub body: &'a [u8],
}

/// Why a call is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Another key, another site, or a call that was altered.
    Seal,
    /// The clocks are too far apart, or the call is old.
    Late,
    /// It was taken before.
    Again,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refused::Seal => "its seal does not fit: another site's key? Copy the file `key` of this fleet's first instance",
            Refused::Late => "its wall clock is two minutes off ours, or it is old: set the clocks",
            Refused::Again => "it was taken before",
        })
    }
}

impl Key {
    /// # Errors
    /// It is no key: what one looks like.
    pub fn parse(text: &str) -> Result<Key, String> {
        let text = text.trim();
        let mut key = [0; KEY];
        let fault = || format!("a key is {} hexadecimal digits, as `init` writes to the file `key`", 2 * KEY);
        if text.len() != 2 * KEY || !text.is_ascii() {
            return Err(fault());
        }
        for (place, byte) in key.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * place..2 * place + 2], 16).map_err(|_| fault())?;
        }
        Ok(Key(key))
    }

    fn over(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length will do");
        for part in parts {
            // Each with its length, so that no two calls have the same bytes.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    fn of_call(&self, call: &Call<'_>) -> Hmac<Sha256> {
        let at = call.at_ms.to_be_bytes();
        let body = Sha256::digest(call.body);
        let parts: [&[u8]; 6] =
            [b"call", call.path.as_bytes(), call.from.as_bytes(), &at, call.number.as_bytes(), &body];
        self.over(&parts)
    }

    fn of_answer(&self, number: &str, status: u16, body: &[u8]) -> Hmac<Sha256> {
        self.over(&[b"answer", number.as_bytes(), &status.to_be_bytes(), &Sha256::digest(body)])
    }

    pub fn seal(&self, call: &Call<'_>) -> String {
        hexadecimal(self.of_call(call))
    }

    pub fn seal_answer(&self, number: &str, status: u16, body: &[u8]) -> String {
        hexadecimal(self.of_answer(number, status, body))
    }

    /// Compared in a time that does not depend on where they differ.
    pub fn fits_answer(&self, number: &str, status: u16, body: &[u8], seal: &str) -> bool {
        bytes(seal).is_some_and(|seal| self.of_answer(number, status, body).verify_slice(&seal).is_ok())
    }
}

fn hexadecimal(mac: Hmac<Sha256>) -> String {
    brassport_fleet::shared::hexadecimal(&mac.finalize().into_bytes())
}

fn bytes(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || text.len() % 2 == 1 {
        return None;
    }
    (0..text.len()).step_by(2).map(|place| u8::from_str_radix(&text[place..place + 2], 16).ok()).collect()
}

/// Looks at calls that come in.
#[derive(Debug, Default)]
pub struct Gate {
    numbers: BTreeSet<String>,
    order: VecDeque<String>,
}

impl Gate {
    /// Whether a call is taken; from then on not again.
    ///
    /// # Errors
    /// Why it is not.
    pub fn take(&mut self, key: &Key, call: &Call<'_>, seal: &str, now_ms: u64) -> Result<(), Refused> {
        let fits = bytes(seal).is_some_and(|seal| key.of_call(call).verify_slice(&seal).is_ok());
        if !fits {
            return Err(Refused::Seal);
        }
        if now_ms.abs_diff(call.at_ms) > WINDOW {
            return Err(Refused::Late);
        }
        if !self.numbers.insert(call.number.to_string()) {
            return Err(Refused::Again);
        }
        self.order.push_back(call.number.to_string());
        if self.order.len() > NUMBERS {
            self.order.pop_front().map(|oldest| self.numbers.remove(&oldest));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(digit: &str) -> Key {
        Key::parse(&digit.repeat(2 * KEY)).expect("a key")
    }

    const CALL: Call<'static> =
        Call { path: "/fleet/ask", from: "d1", at_ms: 5_000_000, number: "n1", body: b"{}" };

    #[test]
    fn a_call_is_taken_once_with_its_own_key_and_in_time() {
        let (mut gate, seal) = (Gate::default(), key("a").seal(&CALL));
        assert_eq!(gate.take(&key("b"), &CALL, &seal, 5_000_000), Err(Refused::Seal));
        assert_eq!(gate.take(&key("a"), &CALL, &seal, 5_000_000 + WINDOW + 1), Err(Refused::Late));
        assert_eq!(gate.take(&key("a"), &CALL, &seal, 5_000_000), Ok(()));
        assert_eq!(gate.take(&key("a"), &CALL, &seal, 5_000_000), Err(Refused::Again));
        for text in ["", "zz", "a", "ää"] {
            assert_eq!(gate.take(&key("a"), &CALL, text, 5_000_000), Err(Refused::Seal));
        }
    }

    #[test]
    fn whatever_is_altered_does_not_fit() {
        let seal = key("a").seal(&CALL);
        for call in [
            Call { path: "/fleet/publish", ..CALL },
            Call { from: "d2", ..CALL },
            Call { at_ms: 5_000_001, ..CALL },
            Call { number: "n2", ..CALL },
            Call { body: b"{ }", ..CALL },
        ] {
            assert_eq!(Gate::default().take(&key("a"), &call, &seal, 5_000_000), Err(Refused::Seal));
        }
        let answer = key("a").seal_answer("n1", 200, b"yes");
        assert!(key("a").fits_answer("n1", 200, b"yes", &answer));
        assert!(!key("a").fits_answer("n2", 200, b"yes", &answer), "the answer to another call");
        assert!(!key("a").fits_answer("n1", 200, b"no", &answer));
        assert!(!key("b").fits_answer("n1", 200, b"yes", &answer));
    }

    #[test]
    fn what_is_no_key_says_how_one_looks() {
        assert!(Key::parse("abc").expect_err("too short").contains("64 hexadecimal digits"));
        assert!(Key::parse(&"x".repeat(64)).is_err());
    }
}
