//! Reads the lines of a scenario.

use super::words::{Read, Words};
use super::{Ask, Cut, Disk, Expect, Fault, Flaw, Line, Script, Setup, Statement, When};
use brassport_config_store::consensus::ChangeScope;

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
        "machines" => machines(words, setup)?,
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
            let when = condition(words)?;
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

fn machines(words: &mut Words, setup: &mut Setup) -> Read<()> {
    setup.disks = words.number()? as usize;
    words.want("disks")?;
    if words.peek() != Some("zones") && words.peek().is_some() {
        setup.plain = words.number()? as usize;
        words.want("plain")?;
    }
    if words.take("zones") {
        setup.zones = words.rest("a zone")?;
    }
    Ok(())
}

fn condition(words: &mut Words) -> Read<When> {
    let name = words.next("the name of a call")?.to_owned();
    words.want("is")?;
    if words.take("kept") {
        words.want("by")?;
        return Ok(When::Kept(name, words.number()? as usize));
    }
    Ok(When::Answered(name, words.code()?))
}

fn push(words: &mut Words, script: &mut Script, when: When) -> Read<()> {
    let statement = statement(words)?;
    script.lines.push(Line { number: words.line, when, statement });
    Ok(())
}

const WHO: &str = "a machine";

fn statement(words: &mut Words) -> Read<Statement> {
    Ok(match words.next("a statement")? {
        "name" => {
            let machine = words.next(WHO)?.to_owned();
            words.want("as")?;
            Statement::Name(machine, words.next("a name")?.to_owned())
        }
        "freeze" => {
            let machine = words.next(WHO)?.to_owned();
            words.want("for")?;
            Statement::Freeze(machine, words.span()?)
        }
        "kill" => Statement::Kill(words.rest(WHO)?),
        "start" => Statement::Start(words.rest(WHO)?),
        "retire" => Statement::Retire(words.rest(WHO)?),
        "stop" => {
            let machine = words.next(WHO)?.to_owned();
            let soonest = if words.take("after") { words.span()? } else { 0 };
            Statement::Stop(machine, soonest)
        }
        "operator" => {
            let ask = operator(words)?;
            asked(words, ask)?
        }
        "backend" => backend(words)?,
        "late" => late_heartbeat(words)?,
        "expect" => Statement::Expect(expect(words)?),
        "seeds" => seeds(words)?,
        fault => return fault_statement(fault, words),
    })
}

/// Statements of what goes wrong on the network and on disks.
fn fault_statement(word: &str, words: &mut Words) -> Read<Statement> {
    Ok(match word {
        "answers" => {
            words.want("lost")?;
            Statement::AnswersLost(words.percent()?)
        }
        "lose" => {
            words.want("disk")?;
            words.want("of")?;
            Statement::LoseDisk(words.next(WHO)?.to_owned())
        }
        "cut" => cut(words)?,
        "join" => Statement::Join,
        "loss" => Statement::Loss(words.percent()?),
        "repeats" => {
            let share = words.percent()?;
            words.want("within")?;
            Statement::Repeats(share, words.span()?)
        }
        "lag" => {
            let machine = words.next(WHO)?.to_owned();
            let by = words.span()?;
            words.want("for")?;
            Statement::Lag(machine, by, words.span()?)
        }
        "disk" => disk(words)?,
        _ => {
            words.at -= 1;
            return words.fail("a statement such as `kill`, `cut`, `operator`, `backend` or `expect`");
        }
    })
}

fn cut(words: &mut Words) -> Read<Statement> {
    let machine = words.next(WHO)?.to_owned();
    let kinds = "`off`, `deaf`, `mute` or `from`";
    let cut = match words.next(kinds)? {
        "off" => Cut::Off,
        "deaf" => Cut::Deaf,
        "mute" => Cut::Mute,
        "from" => Cut::From(words.rest(WHO)?),
        _ => {
            words.at -= 1;
            return words.fail(kinds);
        }
    };
    Ok(Statement::Cut(machine, cut))
}

fn disk(words: &mut Words) -> Read<Statement> {
    words.want("of")?;
    let machine = words.next(WHO)?.to_owned();
    let states = "`full`, `well` or `hangs`";
    let disk = match words.next(states)? {
        "full" => Disk::Full,
        "well" => Disk::Well,
        "hangs" => {
            words.want("for")?;
            Disk::Hangs(words.span()?)
        }
        _ => {
            words.at -= 1;
            return words.fail(states);
        }
    };
    Ok(Statement::Disk(machine, disk))
}

fn seeds(words: &mut Words) -> Read<Statement> {
    words.want("of")?;
    let machine = words.next(WHO)?.to_owned();
    words.want("are")?;
    Ok(Statement::Seeds(machine, words.machines()?))
}

fn late_heartbeat(words: &mut Words) -> Read<Statement> {
    words.want("beat")?;
    words.want("of")?;
    let id = words.next("a backend")?.to_owned();
    words.want("reaches")?;
    Ok(Statement::LateHeartbeat(id, words.next(WHO)?.to_owned()))
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
        return Ok(Statement::Heartbeats { id, service, via });
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
        first => expect_of(first, words)?,
    })
}

/// What is expected of a machine or a call.
fn expect_of(first: &str, words: &mut Words) -> Read<Expect> {
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
    Ok(Expect::Answer(first.to_owned(), codes))
}
