//! The words of a line, read one after another.

use super::{Fault, Millis};

/// The words of one line.
pub struct Words<'a> {
    pub line: usize,
    pub words: Vec<&'a str>,
    pub at: usize,
}

pub type Read<T> = Result<T, Fault>;

impl<'a> Words<'a> {
    pub fn peek(&self) -> Option<&'a str> {
        self.words.get(self.at).copied()
    }

    pub fn fail<T>(&self, expected: &str) -> Read<T> {
        let found = self.peek().unwrap_or("the end of the line").to_owned();
        Err(Fault { line: self.line, expected: expected.to_owned(), found })
    }

    pub fn next(&mut self, expected: &str) -> Read<&'a str> {
        let Some(word) = self.peek() else { return self.fail(expected) };
        self.at += 1;
        Ok(word)
    }

    pub fn take(&mut self, word: &str) -> bool {
        let is_there = self.peek() == Some(word);
        self.at += usize::from(is_there);
        is_there
    }

    pub fn want(&mut self, word: &str) -> Read<()> {
        if self.take(word) {
            return Ok(());
        }
        self.fail(&format!("`{word}`"))
    }

    pub fn parsed<T>(&mut self, expected: &str, parse: impl Fn(&str) -> Option<T>) -> Read<T> {
        match self.peek().and_then(parse) {
            Some(value) => {
                self.at += 1;
                Ok(value)
            }
            None => self.fail(expected),
        }
    }

    pub fn number(&mut self) -> Read<u64> {
        self.parsed("a number", |word| word.parse().ok())
    }

    pub fn percent(&mut self) -> Read<u64> {
        self.parsed("a percentage such as 5%", |word| word.strip_suffix('%')?.parse().ok())
    }

    pub fn seconds(&mut self) -> Read<Millis> {
        self.parsed("a time in seconds such as 1.5", |word| millis(word, 1000.0))
    }

    pub fn span(&mut self) -> Read<Millis> {
        self.parsed("a span such as 3s or 300ms", |word| match word.strip_suffix("ms") {
            Some(number) => millis(number, 1.0),
            None => millis(word.strip_suffix('s')?, 1000.0),
        })
    }

    pub fn version(&mut self) -> Read<u32> {
        self.parsed("a version such as v5", |word| word.strip_prefix('v')?.parse().ok())
    }

    pub fn code(&mut self) -> Read<u16> {
        self.parsed("an answer: 200, 307, 400, 412, 503 or none", |word| match word {
            "200" | "307" | "400" | "412" | "503" => word.parse().ok(),
            "none" => Some(0),
            _ => None,
        })
    }

    pub fn rest(&mut self, expected: &str) -> Read<Vec<String>> {
        let mut rest = vec![self.next(expected)?.to_owned()];
        while let Some(word) = self.peek() {
            rest.push(word.to_owned());
            self.at += 1;
        }
        Ok(rest)
    }

    pub fn machines(&mut self) -> Read<Vec<usize>> {
        let mut all = vec![self.number()? as usize];
        while self.peek().is_some() {
            all.push(self.number()? as usize);
        }
        Ok(all)
    }
}

fn millis(word: &str, times: f64) -> Option<Millis> {
    let number: f64 = word.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some((number * times).round() as Millis)
}
