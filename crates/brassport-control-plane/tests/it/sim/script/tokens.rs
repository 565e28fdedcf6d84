//! The tokens of a line.

use super::{Millis, ParseError};

/// The tokens of one line, and the position of the next one.
pub struct Tokens<'a> {
    pub line: usize,
    pub tokens: Vec<&'a str>,
    pub at: usize,
}

pub type ParseResult<T> = Result<T, ParseError>;

impl<'a> Tokens<'a> {
    pub fn peek(&self) -> Option<&'a str> {
        self.tokens.get(self.at).copied()
    }

    pub fn fail<T>(&self, expected: &str) -> ParseResult<T> {
        let found = self.peek().unwrap_or("the end of the line").to_owned();
        Err(ParseError { line: self.line, expected: expected.to_owned(), found })
    }

    pub fn next(&mut self, expected: &str) -> ParseResult<&'a str> {
        let Some(token) = self.peek() else { return self.fail(expected) };
        self.at += 1;
        Ok(token)
    }

    pub fn accept(&mut self, token: &str) -> bool {
        let is_there = self.peek() == Some(token);
        self.at += usize::from(is_there);
        is_there
    }

    pub fn expect(&mut self, token: &str) -> ParseResult<()> {
        if self.accept(token) {
            return Ok(());
        }
        self.fail(&format!("`{token}`"))
    }

    pub fn parsed<T>(&mut self, expected: &str, parse: impl Fn(&str) -> Option<T>) -> ParseResult<T> {
        match self.peek().and_then(parse) {
            Some(value) => {
                self.at += 1;
                Ok(value)
            }
            None => self.fail(expected),
        }
    }

    pub fn number(&mut self) -> ParseResult<u64> {
        self.parsed("a number", |token| token.parse().ok())
    }

    pub fn percent(&mut self) -> ParseResult<u64> {
        self.parsed("a percentage such as 5%", |token| token.strip_suffix('%')?.parse().ok())
    }

    pub fn seconds(&mut self) -> ParseResult<Millis> {
        self.parsed("a time in seconds such as 1.5", |token| millis(token, 1000.0))
    }

    pub fn span(&mut self) -> ParseResult<Millis> {
        self.parsed("a span such as 3s or 300ms", |token| match token.strip_suffix("ms") {
            Some(number) => millis(number, 1.0),
            None => millis(token.strip_suffix('s')?, 1000.0),
        })
    }

    pub fn version(&mut self) -> ParseResult<u32> {
        self.parsed("a version such as v5", |token| token.strip_prefix('v')?.parse().ok())
    }

    pub fn code(&mut self) -> ParseResult<u16> {
        self.parsed("an answer: 200, 307, 400, 412, 503 or none", |token| match token {
            "200" | "307" | "400" | "412" | "503" => token.parse().ok(),
            "none" => Some(0),
            _ => None,
        })
    }

    pub fn remaining(&mut self, expected: &str) -> ParseResult<Vec<String>> {
        let mut remaining = vec![self.next(expected)?.to_owned()];
        while let Some(token) = self.peek() {
            remaining.push(token.to_owned());
            self.at += 1;
        }
        Ok(remaining)
    }

    pub fn machines(&mut self) -> ParseResult<Vec<usize>> {
        let mut all = vec![self.number()? as usize];
        while self.peek().is_some() {
            all.push(self.number()? as usize);
        }
        Ok(all)
    }
}

fn millis(token: &str, times: f64) -> Option<Millis> {
    let number: f64 = token.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some((number * times).round() as Millis)
}
