//! The command line.

use crate::run;
use crate::settings::Settings;
use brassport_config_store::configuration::{difference, Document};
use brassport_config_store::consensus::AcceptedEntry;
use brassport_config_store::store::Store;
use brassport_types::DiskId;
use gumdrop::Options;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

/// Words on the command line.
#[derive(Debug, Options)]
struct Words {
    #[options(help = "print this")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    verb: Option<Verb>,
}

#[derive(Debug, Options)]
enum Verb {
    #[options(help = "run a door, as the settings file says that BRASSPORT_CONFIG names")]
    Run(RunOptions),
    #[options(help = "check a settings file, or the one that BRASSPORT_CONFIG names")]
    Check(File),
    #[options(help = "check a configuration of the operator's before it is sent")]
    CheckConfiguration(File),
    #[options(help = "say what differs between two configurations")]
    Difference(Two),
    #[options(
        help = "ask running doors (addresses of their control listeners): versions, duty, voters, who lags"
    )]
    Status(Addresses),
    #[options(help = "say what a voter's store holds; the process that owns it must not run")]
    Store(File),
    #[options(help = "try a whole small site on loopback; see brassport-gateway try --help")]
    Try(Rest),
}

#[derive(Debug, Options)]
struct RunOptions {
    #[options(
        no_short,
        meta = "PORT",
        help = "serve counters at http://ADDRESS:PORT/metrics, at the door's own address (none)"
    )]
    metrics_port: Option<u16>,
}

#[derive(Debug, Options)]
struct File {
    #[options(free, help = "the file")]
    file: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct Addresses {
    #[options(free, help = "addresses as 10.0.0.1:8381")]
    addresses: Vec<String>,
    #[options(no_short, help = "print what each says, a line of JSON each")]
    json: bool,
}

#[derive(Debug, Options)]
struct Two {
    #[options(free, help = "the older and the newer file")]
    files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct Rest {
    #[options(free, help = "the words of brassport-testbed, options among them")]
    words: Vec<String>,
}

/// Runs what the words say.
pub fn main(words: Vec<String>) -> ExitCode {
    // Its options are another program's: they go on as they are.
    if let Some(("try", rest)) = words.split_first().map(|(first, rest)| (first.as_str(), rest)) {
        return done(try_site(rest));
    }
    let words = match Words::parse_args_default(&words) {
        Ok(words) => words,
        Err(error) => {
            eprintln!("brassport-gateway: {error}; see brassport-gateway --help");
            return ExitCode::from(2);
        }
    };
    if words.version {
        println!("brassport-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(verb) = words.verb.filter(|_| !words.help) else {
        println!("The gateway.\n\nbrassport-gateway VERB\n\n{}", Words::usage());
        println!("\nVerbs:\n{}", Words::command_list().unwrap_or_default());
        return if words.help { ExitCode::SUCCESS } else { ExitCode::from(2) };
    };
    done(carry_out(verb))
}

fn done(outcome: miette::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("brassport-gateway: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(verb: Verb) -> miette::Result<()> {
    match verb {
        Verb::Run(RunOptions { metrics_port }) => {
            logs()?;
            let file = run::file()?;
            run::run(Settings::read(&file)?, file, metrics_port)
        }
        Verb::Check(File { file }) => {
            let file = file.map_or_else(run::file, Ok)?;
            let settings = Settings::read(&file)?;
            println!("{}: sound; {} in zone {}", file.display(), settings.node, settings.zone);
            Ok(())
        }
        Verb::CheckConfiguration(File { file }) => {
            let document = document(&named(file)?)?;
            let parsed = document.configuration();
            println!(
                "sound: version {}, {} routes, {} services, {} tenants",
                document.version(),
                parsed.routes.len(),
                parsed.services.len(),
                parsed.tenants.len()
            );
            Ok(())
        }
        Verb::Difference(Two { files }) => {
            let [older, newer] = &files[..] else {
                return Err(miette::miette!(
                    help = "brassport-gateway difference OLDER NEWER",
                    "two files are wanted"
                ));
            };
            for line in difference(document(older)?.configuration(), document(newer)?.configuration()) {
                println!("{line}");
            }
            Ok(())
        }
        Verb::Status(Addresses { addresses, json }) => {
            if addresses.is_empty() {
                return Err(miette::miette!(
                    help = "brassport-gateway status 10.0.0.1:8381 ...",
                    "an address is wanted"
                ));
            }
            let mut silent = 0;
            for address in &addresses {
                match crate::status::ask(address) {
                    Ok(text) if json => println!("{text}"),
                    Ok(text) => println!("{}", crate::status::told(address, &text)),
                    Err(error) => {
                        silent += 1;
                        eprintln!("{address}: {error}");
                    }
                }
            }
            match silent {
                0 => Ok(()),
                _ => Err(miette::miette!("{silent} of {} did not answer", addresses.len())),
            }
        }
        Verb::Store(File { file }) => {
            let folder = named(file)?;
            if !folder.join(brassport_config_store::store::FILE_NAME).is_file() {
                return Err(miette::miette!(
                    help = "name the data folder",
                    "{}: no store is there",
                    folder.display()
                ));
            }
            let (store, found) = Store::open(&folder, DiskId::NONE)?;
            println!("disk {}, promised {}", store.disk(), found.promised);
            println!("index {}, version {:08x}", found.state.index, found.state.version());
            for voter in &found.state.voters {
                println!("voter {} with disk {}", voter.ip, voter.disk);
            }
            if let Some(AcceptedEntry { term, .. }) = found.accepted {
                println!("index {} is open, accepted under {term}", found.state.index + 1);
            }
            Ok(())
        }
        Verb::Try(Rest { words }) => try_site(&words),
    }
}

/// Becomes the program that tries a site; returns only where it can't.
fn try_site(words: &[String]) -> miette::Result<()> {
    let beside = std::env::current_exe().unwrap_or_default().with_file_name("brassport-testbed");
    let error = Command::new(&beside).args(words).exec();
    Err(miette::miette!(
        help = "`cargo build --release --workspace` makes it",
        "cannot start {}: {error}",
        beside.display()
    ))
}

fn named(file: Option<PathBuf>) -> miette::Result<PathBuf> {
    file.ok_or_else(|| miette::miette!("a file is wanted"))
}

fn document(file: &Path) -> miette::Result<Document> {
    let bytes = std::fs::read(file).map_err(|error| miette::miette!("{}: {error}", file.display()))?;
    Ok(Document::from_bytes(&bytes)?)
}

/// Lines to standard error; how many is said by `BRASSPORT_GATEWAY_LOG` (error, warn, info, debug).
fn logs() -> miette::Result<()> {
    let level = std::env::var("BRASSPORT_GATEWAY_LOG").ok().and_then(|text| text.parse().ok());
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level.unwrap_or(log::LevelFilter::Info))
        .chain(std::io::stderr())
        .apply()
        .map_err(|error| miette::miette!("logs: {error}"))
}
