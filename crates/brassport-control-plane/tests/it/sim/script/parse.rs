//! Parses scenarios.

use super::tokens::{ParseResult, Tokens};
use super::{CallSpec, DiskFault, Expect, Flaw, Line, ParseError, Partition, Script, Setup, Statement, When};
use brassport_config_store::consensus::ChangeScope;

/// Parses a scenario.
pub fn parse(text: &str) -> ParseResult<Script> {
    let setup = Setup {
        disks: 0,
        diskless: 0,
        zones: vec!["a".to_owned()],
        seeds: Vec::new(),
        tolerated_losses: None,
        seed: 1,
        initially_running: None,
        zone_latency: 1,
        sync_latency: 2,
        link_mbit: None,
        duration: None,
    };
    let mut script = Script { setup, lines: Vec::new() };
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().replace(',', " ");
        let mut tokens = Tokens { line: index + 1, tokens: line.split_whitespace().collect(), at: 0 };
        if tokens.peek().is_none() {
            continue;
        }
        read_line(&mut tokens, &mut script)?;
        if tokens.peek().is_some() {
            return tokens.fail("the end of the line");
        }
    }
    if script.setup.disks == 0 {
        let found = "none".to_owned();
        return Err(ParseError { line: 1, expected: "a line `machines N disks`".to_owned(), found });
    }
    Ok(script)
}

fn read_line(tokens: &mut Tokens, script: &mut Script) -> ParseResult<()> {
    let setup = &mut script.setup;
    match tokens.next("a statement")? {
        "machines" => machines(tokens, setup)?,
        "seeds" => setup.seeds = tokens.machines()?,
        "survive" => setup.tolerated_losses = Some(tokens.number()? as usize),
        "seed" => setup.seed = tokens.number()?,
        "up" => setup.initially_running = Some(tokens.machines()?),
        "apart" => setup.zone_latency = tokens.span()?,
        "sync" => setup.sync_latency = tokens.span()?,
        "link" => {
            let parse = |token: &str| token.strip_suffix("mbit")?.parse().ok();
            setup.link_mbit = Some(tokens.parsed("a rate such as 2mbit", parse)?);
        }
        "lasts" => setup.duration = Some(tokens.span()?),
        "at" => {
            let when = When::At(tokens.seconds()?);
            push(tokens, script, when)?;
        }
        "when" => {
            let when = condition(tokens)?;
            push(tokens, script, when)?;
        }
        "expect" => {
            tokens.at -= 1;
            push(tokens, script, When::End)?;
        }
        _ => {
            tokens.at -= 1;
            return tokens.fail("`machines`, a setting, `at`, `when` or `expect`");
        }
    }
    Ok(())
}

fn machines(tokens: &mut Tokens, setup: &mut Setup) -> ParseResult<()> {
    setup.disks = tokens.number()? as usize;
    tokens.expect("disks")?;
    if tokens.peek() != Some("zones") && tokens.peek().is_some() {
        setup.diskless = tokens.number()? as usize;
        tokens.expect("plain")?;
    }
    if tokens.accept("zones") {
        setup.zones = tokens.remaining("a zone")?;
    }
    Ok(())
}

fn condition(tokens: &mut Tokens) -> ParseResult<When> {
    let name = tokens.next("the name of a call")?.to_owned();
    tokens.expect("is")?;
    if tokens.accept("kept") {
        tokens.expect("by")?;
        return Ok(When::OnDisks(name, tokens.number()? as usize));
    }
    Ok(When::Status(name, tokens.code()?))
}

fn push(tokens: &mut Tokens, script: &mut Script, when: When) -> ParseResult<()> {
    let statement = statement(tokens)?;
    script.lines.push(Line { number: tokens.line, when, statement });
    Ok(())
}

const WHO: &str = "a machine";

fn statement(tokens: &mut Tokens) -> ParseResult<Statement> {
    Ok(match tokens.next("a statement")? {
        "name" => {
            let machine = tokens.next(WHO)?.to_owned();
            tokens.expect("as")?;
            Statement::Name(machine, tokens.next("a name")?.to_owned())
        }
        "freeze" => {
            let machine = tokens.next(WHO)?.to_owned();
            tokens.expect("for")?;
            Statement::Freeze(machine, tokens.span()?)
        }
        "kill" => Statement::Kill(tokens.remaining(WHO)?),
        "start" => Statement::Start(tokens.remaining(WHO)?),
        "retire" => Statement::Retire(tokens.remaining(WHO)?),
        "stop" => {
            let machine = tokens.next(WHO)?.to_owned();
            let min_ms = if tokens.accept("after") { tokens.span()? } else { 0 };
            Statement::ShutDown(machine, min_ms)
        }
        "operator" => {
            let spec = operator(tokens)?;
            call(tokens, spec)?
        }
        "backend" => backend(tokens)?,
        "late" => late_heartbeat(tokens)?,
        "expect" => Statement::Expect(expect(tokens)?),
        "seeds" => seeds(tokens)?,
        fault => return fault_statement(fault, tokens),
    })
}

/// Parses a statement about the network or disks.
fn fault_statement(token: &str, tokens: &mut Tokens) -> ParseResult<Statement> {
    Ok(match token {
        "answers" => {
            tokens.expect("lost")?;
            Statement::ReplyLoss(tokens.percent()?)
        }
        "lose" => {
            tokens.expect("disk")?;
            tokens.expect("of")?;
            Statement::LoseDisk(tokens.next(WHO)?.to_owned())
        }
        "cut" => cut(tokens)?,
        "join" => Statement::Heal,
        "loss" => Statement::MessageLoss(tokens.percent()?),
        "repeats" => {
            let share = tokens.percent()?;
            tokens.expect("within")?;
            Statement::Duplication(share, tokens.span()?)
        }
        "lag" => {
            let machine = tokens.next(WHO)?.to_owned();
            let by = tokens.span()?;
            tokens.expect("for")?;
            Statement::SendDelay(machine, by, tokens.span()?)
        }
        "disk" => disk(tokens)?,
        _ => {
            tokens.at -= 1;
            return tokens.fail("a statement such as `kill`, `cut`, `operator`, `backend` or `expect`");
        }
    })
}

fn cut(tokens: &mut Tokens) -> ParseResult<Statement> {
    let machine = tokens.next(WHO)?.to_owned();
    let kinds = "`off`, `deaf`, `mute` or `from`";
    let cut = match tokens.next(kinds)? {
        "off" => Partition::All,
        "deaf" => Partition::Inbound,
        "mute" => Partition::Outbound,
        "from" => Partition::From(tokens.remaining(WHO)?),
        _ => {
            tokens.at -= 1;
            return tokens.fail(kinds);
        }
    };
    Ok(Statement::Partition(machine, cut))
}

fn disk(tokens: &mut Tokens) -> ParseResult<Statement> {
    tokens.expect("of")?;
    let machine = tokens.next(WHO)?.to_owned();
    let states = "`full`, `well` or `hangs`";
    let disk = match tokens.next(states)? {
        "full" => DiskFault::Full,
        "well" => DiskFault::Healthy,
        "hangs" => {
            tokens.expect("for")?;
            DiskFault::Hangs(tokens.span()?)
        }
        _ => {
            tokens.at -= 1;
            return tokens.fail(states);
        }
    };
    Ok(Statement::DiskFault(machine, disk))
}

fn seeds(tokens: &mut Tokens) -> ParseResult<Statement> {
    tokens.expect("of")?;
    let machine = tokens.next(WHO)?.to_owned();
    tokens.expect("are")?;
    Ok(Statement::Seeds(machine, tokens.machines()?))
}

fn late_heartbeat(tokens: &mut Tokens) -> ParseResult<Statement> {
    tokens.expect("beat")?;
    tokens.expect("of")?;
    let id = tokens.next("a backend")?.to_owned();
    tokens.expect("reaches")?;
    Ok(Statement::LateHeartbeat(id, tokens.next(WHO)?.to_owned()))
}

fn operator(tokens: &mut Tokens) -> ParseResult<CallSpec> {
    let what = "`put`, `change`, `next`, `appends`, `repeats` or `reads`";
    Ok(match tokens.next(what)? {
        verb @ ("put" | "change") => {
            let version = tokens.version()?;
            tokens.expect("on")?;
            let base_version = tokens.number()? as u32;
            let (mut flaw, mut routes) = (None, 2);
            if tokens.accept("but") {
                let flaws = "`cut-off`, `key-twice`, `prefix-twice` or `unknown-service`";
                flaw = Some(tokens.parsed(flaws, |token| match token {
                    "cut-off" => Some(Flaw::Truncated),
                    "key-twice" => Some(Flaw::DuplicateKey),
                    "prefix-twice" => Some(Flaw::DuplicatePrefix),
                    "unknown-service" => Some(Flaw::UnknownService),
                    _ => None,
                })?);
            } else if tokens.accept("with") {
                routes = tokens.number()? as usize;
                tokens.expect("routes")?;
            }
            let scope = if verb == "put" { ChangeScope::Full } else { ChangeScope::Partial };
            CallSpec::Configure { scope, version, base_version, flaw, routes }
        }
        "repeats" => CallSpec::Repeat(tokens.next("the name of a call")?.to_owned()),
        "next" => CallSpec::Next,
        "appends" => CallSpec::Append,
        "reads" => CallSpec::Read,
        _ => {
            tokens.at -= 1;
            return tokens.fail(what);
        }
    })
}

fn call(tokens: &mut Tokens, spec: CallSpec) -> ParseResult<Statement> {
    let via = match tokens.accept("via") {
        true => Some(tokens.next("a machine")?.to_owned()),
        false => None,
    };
    let is_single_attempt = tokens.accept("once");
    tokens.expect("as")?;
    let name = tokens.next("a name for the call")?.to_owned();
    Ok(Statement::Call { spec, via, is_single_attempt, name })
}

fn backend(tokens: &mut Tokens) -> ParseResult<Statement> {
    let id = tokens.next("a backend")?.to_owned();
    if tokens.accept("of") {
        let service = tokens.next("a service")?.to_owned();
        tokens.expect("beats")?;
        let via = match tokens.accept("via") {
            true => Some(tokens.next("a machine")?.to_owned()),
            false => None,
        };
        return Ok(Statement::StartBackend { id, service, via });
    }
    if tokens.accept("dies") {
        return Ok(Statement::KillBackend(id));
    }
    if tokens.accept("empties") {
        return call(tokens, CallSpec::Drain(id));
    }
    if tokens.accept("signs") {
        tokens.expect("off")?;
        return call(tokens, CallSpec::Deregister(id));
    }
    tokens.fail("`of SERVICE beats`, `empties`, `signs off` or `dies`")
}

fn expect(tokens: &mut Tokens) -> ParseResult<Expect> {
    Ok(match tokens.next("what is expected")? {
        "read" => Expect::ReadBack(tokens.version()?),
        "voters" => Expect::Voters(tokens.machines()?),
        "leader" => {
            let is = !tokens.accept("not");
            let who = tokens.next("a machine, or `any`")?;
            Expect::Leader { who: (who != "any").then(|| who.to_owned()), is }
        }
        "one" => {
            tokens.expect("of")?;
            let (mut names, code) = (Vec::new(), 200);
            while !tokens.accept("200") {
                names.push(tokens.next("the name of a call, or `200`")?.to_owned());
            }
            Expect::ExactlyOne(names, code)
        }
        first => expect_of(first, tokens)?,
    })
}

/// Parses an expectation about a machine or a call.
fn expect_of(first: &str, tokens: &mut Tokens) -> ParseResult<Expect> {
    if tokens.accept("in") {
        tokens.expect("force")?;
        return Ok(Expect::AppliedVersion(first.to_owned(), tokens.version()?));
    }
    if tokens.accept("kept") {
        tokens.expect("by")?;
        return Ok(Expect::OnDisks(first.to_owned(), tokens.number()? as usize));
    }
    if tokens.accept("knows") {
        let id = tokens.next("a backend")?.to_owned();
        let mut states = Vec::new();
        loop {
            let what = "`ready`, `silent`, `emptying`, `gone` or `nothing`";
            let known = ["ready", "silent", "emptying", "gone", "nothing"];
            states.push(tokens.parsed(what, |token| known.contains(&token).then(|| token.to_owned()))?);
            if !tokens.accept("or") {
                return Ok(Expect::BackendState(first.to_owned(), id, states));
            }
        }
    }
    let mut codes = vec![tokens.code()?];
    while tokens.accept("or") {
        codes.push(tokens.code()?);
    }
    Ok(Expect::Status(first.to_owned(), codes))
}
