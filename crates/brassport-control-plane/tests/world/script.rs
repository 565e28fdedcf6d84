//! The scenarios' language: one statement a line, `#` begins a comment. A line that makes no sense fails with file, line
//! and what was expected.
//!
//! ```text
//! machines 3 disks, 2 plain, zones a b c      all machines; the disks come first, zones go round
//! seeds 0 1 2 | survive 1 | seed 7 | up 0 2   the settings; `up`: who starts at the beginning (default: all)
//! apart 15ms | sync 5ms | link 2mbit          between zones, of a disk, out of a machine
//! lasts 20s                                   the end (default: 6 s after the last line)
//! at 1.5 STATEMENT                            at a time
//! when first is kept by 2 STATEMENT           once so many disks have that configuration
//! when first is 200 STATEMENT                 once its caller has that answer
//! expect ...                                  without a time: at the end
//! ```
//!
//! WHO is a number, `leader`, `follower` (the first other of the core that runs), `last` (the last of them), `core`,
//! `every`, or a name given with `name WHO as NAME`.

use brassport_config_store::consensus::ChangeScope;
use std::fmt;

pub type Millis = u64;

/// A line that makes no sense.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub expected: String,
    pub found: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}, found {:?}", self.line, self.expected, self.found)
    }
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub disks: usize,
    pub plain: usize,
    pub zones: Vec<String>,
    pub seeds: Vec<usize>,
    pub survive: Option<usize>,
    pub seed: u64,
    pub up: Option<Vec<usize>>,
    pub apart: Millis,
    pub sync: Millis,
    pub mbit: Option<u64>,
    pub lasts: Option<Millis>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Cut {
    From(Vec<String>),
    Off,
    /// It sends and does not hear.
    Deaf,
    /// It hears and is not heard.
    Mute,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    CutOff,
    KeyTwice,
    PrefixTwice,
    UnknownService,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Put {
        scope: ChangeScope,
        version: u32,
        base_version: u32,
        flaw: Option<Flaw>,
        routes: usize,
    },
    /// The next version, on top of the one that some door goes by.
    Next,
    /// The next version, on top of the newest that was acknowledged.
    Append,
    Repeat(String),
    Read,
    Empty(String),
    SignOff(String),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Disk {
    Full,
    Well,
    Hangs(Millis),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    Name(String, String),
    Freeze(String, Millis),
    Kill(Vec<String>),
    Start(Vec<String>),
    /// Gone for good: they belong to the core no more.
    Retire(Vec<String>),
    /// Told to end: it ends once it may, but no sooner than this, and after `graceS` at the latest.
    Stop(String, Millis),
    /// So many answers to operators are lost on their way.
    AnswersLost(u64),
    LoseDisk(String),
    Cut(String, Cut),
    Join,
    Loss(u64),
    Repeats(u64, Millis),
    Lag(String, Millis, Millis),
    Disk(String, Disk),
    Seeds(String, Vec<usize>),
    Ask {
        ask: Ask,
        via: Option<String>,
        once: bool,
        name: String,
    },
    Beats {
        id: String,
        service: String,
        via: Option<String>,
    },
    Dies(String),
    LateBeat(String, String),
    Expect(Expect),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Expect {
    Answer(String, Vec<u16>),
    OneOf(Vec<String>, u16),
    InForce(String, u32),
    /// So many disks have what was put under a name.
    Kept(String, usize),
    Knows(String, String, Vec<String>),
    Voters(Vec<usize>),
    Leader {
        who: Option<String>,
        is: bool,
    },
    Read(u32),
}

#[derive(Debug, Clone, PartialEq)]
pub enum When {
    At(Millis),
    Kept(String, usize),
    Answered(String, u16),
    End,
}

#[derive(Debug, Clone)]
pub struct Line {
    pub number: usize,
    pub when: When,
    pub statement: Statement,
}

#[derive(Debug, Clone)]
pub struct Script {
    pub setup: Setup,
    pub lines: Vec<Line>,
}

/// The words of one line.
struct Words<'a> {
    line: usize,
    words: Vec<&'a str>,
    at: usize,
}

type Read<T> = Result<T, Fault>;

impl<'a> Words<'a> {
    fn peek(&self) -> Option<&'a str> {
        self.words.get(self.at).copied()
    }

    fn fail<T>(&self, expected: &str) -> Read<T> {
        let found = self.peek().unwrap_or("the end of the line").to_owned();
        Err(Fault { line: self.line, expected: expected.to_owned(), found })
    }

    fn next(&mut self, expected: &str) -> Read<&'a str> {
        let Some(word) = self.peek() else { return self.fail(expected) };
        self.at += 1;
        Ok(word)
    }

    fn take(&mut self, word: &str) -> bool {
        let is_there = self.peek() == Some(word);
        self.at += usize::from(is_there);
        is_there
    }

    fn want(&mut self, word: &str) -> Read<()> {
        if self.take(word) {
            return Ok(());
        }
        self.fail(&format!("`{word}`"))
    }

    fn parsed<T>(&mut self, expected: &str, parse: impl Fn(&str) -> Option<T>) -> Read<T> {
        match self.peek().and_then(parse) {
            Some(value) => {
                self.at += 1;
                Ok(value)
            }
            None => self.fail(expected),
        }
    }

    fn number(&mut self) -> Read<u64> {
        self.parsed("a number", |word| word.parse().ok())
    }

    fn percent(&mut self) -> Read<u64> {
        self.parsed("a percentage such as 5%", |word| word.strip_suffix('%')?.parse().ok())
    }

    fn seconds(&mut self) -> Read<Millis> {
        self.parsed("a time in seconds such as 1.5", |word| millis(word, 1000.0))
    }

    fn span(&mut self) -> Read<Millis> {
        self.parsed("a span such as 3s or 300ms", |word| match word.strip_suffix("ms") {
            Some(number) => millis(number, 1.0),
            None => millis(word.strip_suffix('s')?, 1000.0),
        })
    }

    fn version(&mut self) -> Read<u32> {
        self.parsed("a version such as v5", |word| word.strip_prefix('v')?.parse().ok())
    }

    fn code(&mut self) -> Read<u16> {
        self.parsed("an answer: 200, 307, 400, 412, 503 or none", |word| match word {
            "200" | "307" | "400" | "412" | "503" => word.parse().ok(),
            "none" => Some(0),
            _ => None,
        })
    }

    fn rest(&mut self, expected: &str) -> Read<Vec<String>> {
        let mut rest = vec![self.next(expected)?.to_owned()];
        while let Some(word) = self.peek() {
            rest.push(word.to_owned());
            self.at += 1;
        }
        Ok(rest)
    }

    fn machines(&mut self) -> Read<Vec<usize>> {
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

/// Reads a scenario.
pub fn parse(text: &str) -> Read<Script> {
    let setup = Setup {
        disks: 0,
        plain: 0,
        zones: vec!["a".to_owned()],
        seeds: Vec::new(),
        survive: None,
        seed: 1,
        up: None,
        apart: 1,
        sync: 2,
        mbit: None,
        lasts: None,
    };
    let mut script = Script { setup, lines: Vec::new() };
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().replace(',', " ");
        let mut words = Words { line: index + 1, words: line.split_whitespace().collect(), at: 0 };
        if words.peek().is_none() {
            continue;
        }
        read_line(&mut words, &mut script)?;
        if words.peek().is_some() {
            return words.fail("the end of the line");
        }
    }
    if script.setup.disks == 0 {
        let found = "none".to_owned();
        return Err(Fault { line: 1, expected: "a line `machines N disks`".to_owned(), found });
    }
    Ok(script)
}

fn read_line(words: &mut Words, script: &mut Script) -> Read<()> {
    let setup = &mut script.setup;
    match words.next("a statement")? {
        "machines" => {
            setup.disks = words.number()? as usize;
            words.want("disks")?;
            if words.peek() != Some("zones") && words.peek().is_some() {
                setup.plain = words.number()? as usize;
                words.want("plain")?;
            }
            if words.take("zones") {
                setup.zones = words.rest("a zone")?;
            }
        }
        "seeds" => setup.seeds = words.machines()?,
        "survive" => setup.survive = Some(words.number()? as usize),
        "seed" => setup.seed = words.number()?,
        "up" => setup.up = Some(words.machines()?),
        "apart" => setup.apart = words.span()?,
        "sync" => setup.sync = words.span()?,
        "link" => {
            let parse = |word: &str| word.strip_suffix("mbit")?.parse().ok();
            setup.mbit = Some(words.parsed("a rate such as 2mbit", parse)?);
        }
        "lasts" => setup.lasts = Some(words.span()?),
        "at" => {
            let when = When::At(words.seconds()?);
            push(words, script, when)?;
        }
        "when" => {
            let name = words.next("the name of a call")?.to_owned();
            words.want("is")?;
            let when = if words.take("kept") {
                words.want("by")?;
                When::Kept(name, words.number()? as usize)
            } else {
                When::Answered(name, words.code()?)
            };
            push(words, script, when)?;
        }
        "expect" => {
            words.at -= 1;
            push(words, script, When::End)?;
        }
        _ => {
            words.at -= 1;
            return words.fail("`machines`, a setting, `at`, `when` or `expect`");
        }
    }
    Ok(())
}

fn push(words: &mut Words, script: &mut Script, when: When) -> Read<()> {
    let statement = statement(words)?;
    script.lines.push(Line { number: words.line, when, statement });
    Ok(())
}

fn statement(words: &mut Words) -> Read<Statement> {
    let who = "a machine";
    Ok(match words.next("a statement")? {
        "name" => {
            let machine = words.next(who)?.to_owned();
            words.want("as")?;
            Statement::Name(machine, words.next("a name")?.to_owned())
        }
        "freeze" => {
            let machine = words.next(who)?.to_owned();
            words.want("for")?;
            Statement::Freeze(machine, words.span()?)
        }
        "kill" => Statement::Kill(words.rest(who)?),
        "start" => Statement::Start(words.rest(who)?),
        "retire" => Statement::Retire(words.rest(who)?),
        "stop" => {
            let machine = words.next(who)?.to_owned();
            let soonest = if words.take("after") { words.span()? } else { 0 };
            Statement::Stop(machine, soonest)
        }
        "answers" => {
            words.want("lost")?;
            Statement::AnswersLost(words.percent()?)
        }
        "lose" => {
            words.want("disk")?;
            words.want("of")?;
            Statement::LoseDisk(words.next(who)?.to_owned())
        }
        "cut" => {
            let machine = words.next(who)?.to_owned();
            let cut = match words.next("`off`, `deaf`, `mute` or `from`")? {
                "off" => Cut::Off,
                "deaf" => Cut::Deaf,
                "mute" => Cut::Mute,
                "from" => Cut::From(words.rest(who)?),
                _ => {
                    words.at -= 1;
                    return words.fail("`off`, `deaf`, `mute` or `from`");
                }
            };
            Statement::Cut(machine, cut)
        }
        "join" => Statement::Join,
        "loss" => Statement::Loss(words.percent()?),
        "repeats" => {
            let share = words.percent()?;
            words.want("within")?;
            Statement::Repeats(share, words.span()?)
        }
        "lag" => {
            let machine = words.next(who)?.to_owned();
            let by = words.span()?;
            words.want("for")?;
            Statement::Lag(machine, by, words.span()?)
        }
        "disk" => {
            words.want("of")?;
            let machine = words.next(who)?.to_owned();
            let disk = match words.next("`full`, `well` or `hangs`")? {
                "full" => Disk::Full,
                "well" => Disk::Well,
                "hangs" => {
                    words.want("for")?;
                    Disk::Hangs(words.span()?)
                }
                _ => {
                    words.at -= 1;
                    return words.fail("`full`, `well` or `hangs`");
                }
            };
            Statement::Disk(machine, disk)
        }
        "seeds" => {
            words.want("of")?;
            let machine = words.next(who)?.to_owned();
            words.want("are")?;
            Statement::Seeds(machine, words.machines()?)
        }
        "operator" => {
            let ask = operator(words)?;
            asked(words, ask)?
        }
        "backend" => backend(words)?,
        "late" => {
            words.want("beat")?;
            words.want("of")?;
            let id = words.next("a backend")?.to_owned();
            words.want("reaches")?;
            Statement::LateBeat(id, words.next(who)?.to_owned())
        }
        "expect" => Statement::Expect(expect(words)?),
        _ => {
            words.at -= 1;
            return words.fail("a statement such as `kill`, `cut`, `operator`, `backend` or `expect`");
        }
    })
}

fn operator(words: &mut Words) -> Read<Ask> {
    let what = "`put`, `change`, `next`, `appends`, `repeats` or `reads`";
    Ok(match words.next(what)? {
        verb @ ("put" | "change") => {
            let version = words.version()?;
            words.want("on")?;
            let base_version = words.number()? as u32;
            let (mut flaw, mut routes) = (None, 2);
            if words.take("but") {
                let flaws = "`cut-off`, `key-twice`, `prefix-twice` or `unknown-service`";
                flaw = Some(words.parsed(flaws, |word| match word {
                    "cut-off" => Some(Flaw::CutOff),
                    "key-twice" => Some(Flaw::KeyTwice),
                    "prefix-twice" => Some(Flaw::PrefixTwice),
                    "unknown-service" => Some(Flaw::UnknownService),
                    _ => None,
                })?);
            } else if words.take("with") {
                routes = words.number()? as usize;
                words.want("routes")?;
            }
            let scope = if verb == "put" { ChangeScope::Full } else { ChangeScope::Partial };
            Ask::Put { scope, version, base_version, flaw, routes }
        }
        "repeats" => Ask::Repeat(words.next("the name of a call")?.to_owned()),
        "next" => Ask::Next,
        "appends" => Ask::Append,
        "reads" => Ask::Read,
        _ => {
            words.at -= 1;
            return words.fail(what);
        }
    })
}

fn asked(words: &mut Words, ask: Ask) -> Read<Statement> {
    let via = match words.take("via") {
        true => Some(words.next("a machine")?.to_owned()),
        false => None,
    };
    let once = words.take("once");
    words.want("as")?;
    let name = words.next("a name for the call")?.to_owned();
    Ok(Statement::Ask { ask, via, once, name })
}

fn backend(words: &mut Words) -> Read<Statement> {
    let id = words.next("a backend")?.to_owned();
    if words.take("of") {
        let service = words.next("a service")?.to_owned();
        words.want("beats")?;
        let via = match words.take("via") {
            true => Some(words.next("a machine")?.to_owned()),
            false => None,
        };
        return Ok(Statement::Beats { id, service, via });
    }
    if words.take("dies") {
        return Ok(Statement::Dies(id));
    }
    if words.take("empties") {
        return asked(words, Ask::Empty(id));
    }
    if words.take("signs") {
        words.want("off")?;
        return asked(words, Ask::SignOff(id));
    }
    words.fail("`of SERVICE beats`, `empties`, `signs off` or `dies`")
}

fn expect(words: &mut Words) -> Read<Expect> {
    Ok(match words.next("what is expected")? {
        "read" => Expect::Read(words.version()?),
        "voters" => Expect::Voters(words.machines()?),
        "leader" => {
            let is = !words.take("not");
            let who = words.next("a machine, or `any`")?;
            Expect::Leader { who: (who != "any").then(|| who.to_owned()), is }
        }
        "one" => {
            words.want("of")?;
            let (mut names, code) = (Vec::new(), 200);
            while !words.take("200") {
                names.push(words.next("the name of a call, or `200`")?.to_owned());
            }
            Expect::OneOf(names, code)
        }
        first => {
            if words.take("in") {
                words.want("force")?;
                return Ok(Expect::InForce(first.to_owned(), words.version()?));
            }
            if words.take("kept") {
                words.want("by")?;
                return Ok(Expect::Kept(first.to_owned(), words.number()? as usize));
            }
            if words.take("knows") {
                let id = words.next("a backend")?.to_owned();
                let mut stages = Vec::new();
                loop {
                    let what = "`ready`, `silent`, `emptying`, `gone` or `nothing`";
                    let known = ["ready", "silent", "emptying", "gone", "nothing"];
                    stages.push(words.parsed(what, |word| known.contains(&word).then(|| word.to_owned()))?);
                    if !words.take("or") {
                        return Ok(Expect::Knows(first.to_owned(), id, stages));
                    }
                }
            }
            let mut codes = vec![words.code()?];
            while words.take("or") {
                codes.push(words.code()?);
            }
            Expect::Answer(first.to_owned(), codes)
        }
    })
}
