//! Runs one stand-in until SIGTERM or an interrupt signal.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, builder};
use standins::{Running, engine, hosts, kv, service, weights};
use tokio::signal::unix;

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let terminate = unix::signal(unix::SignalKind::terminate())?;
    let Running { address, handle } = start(&matches)?;
    println!("listening {address}");
    wait_for_stop(terminate).await?;
    handle.stop(false).await;
    Ok(())
}

fn command() -> Command {
    Command::new("standin")
        .about("Fakes of external systems, for tests and the demo only")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommands([
            kv_command(),
            subcommand("hosts", "The list of live and leaving hosts"),
            weights_command(),
            engine_command(),
            service_command(),
        ])
}

fn start(matches: &ArgMatches) -> anyhow::Result<Running> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let listen = *matches.get_one::<SocketAddr>("listen").expect("clap requires --listen");
    Ok(match name {
        "kv" => kv::start(listen, kv_options(matches))?,
        "hosts" => hosts::start(listen)?,
        "weights" => weights::start(listen, weights_options(matches))?,
        "engine" => engine::start(listen, engine_options(matches))?,
        "service" => service::start(listen, service_options(matches))?,
        _ => unreachable!("clap rejects other subcommands"),
    })
}

async fn wait_for_stop(mut terminate: unix::Signal) -> io::Result<()> {
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => interrupt,
    }
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen").long("listen").value_name("ADDRESS").required(true);
    let listen = listen.value_parser(builder::ValueParser::new(str::parse::<SocketAddr>));
    Command::new(name)
        .about(about)
        .arg(listen.help("Address to listen on; port 0 selects a free port"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).value_name("N").default_value(default);
    arg.value_parser(clap::value_parser!(u64)).help(help)
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("the argument has a default")
}

fn get_size(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(get_number(matches, name)).unwrap_or(usize::MAX)
}

fn get_millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get_number(matches, name))
}

fn get_text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one(name).cloned()
}

fn kv_command() -> Command {
    subcommand("kv", "The platform's key-value service")
        .arg(number("writes-per-second", "300", "Writes accepted per second"))
        .arg(number("reads-per-second", "2000", "Reads accepted per second"))
        .arg(number("history", "10000", "Changes kept for watches"))
        .arg(number(
            "progress-ms",
            "1000",
            "Interval of progress messages on an idle watch, in milliseconds",
        ))
}

fn kv_options(matches: &ArgMatches) -> kv::Options {
    kv::Options {
        writes_per_second: get_number(matches, "writes-per-second"),
        reads_per_second: get_number(matches, "reads-per-second"),
        history: get_size(matches, "history"),
        progress_interval: get_millis(matches, "progress-ms"),
    }
}

fn weights_command() -> Command {
    subcommand("weights", "The weight store")
        .arg(number("bytes-per-second", "50000000", "Combined rate of all reads"))
        .arg(number("queue", "16", "Concurrent reads before further ones are refused"))
}

fn weights_options(matches: &ArgMatches) -> weights::Options {
    weights::Options {
        bytes_per_second: get_number(matches, "bytes-per-second"),
        queue: get_size(matches, "queue"),
    }
}

fn engine_command() -> Command {
    let ignores = Arg::new("ignores-fencing").long("ignores-fencing");
    subcommand("engine", "A model engine")
        .arg(text("name", "The engine's name").required(true))
        .arg(number("slots", "4", "Number of requests that run at the same time"))
        .arg(number("token-ms", "5", "Time per token, in milliseconds"))
        .arg(number(
            "first-token-ms",
            "20",
            "Additional time before the first token, in milliseconds",
        ))
        .arg(number("load-lag-ms", "0", "Delay of load reports, in milliseconds"))
        .arg(text("crash-on", "Abort the process when a prompt contains this text"))
        .arg(
            ignores
                .action(clap::ArgAction::SetTrue)
                .help("Accept orders with outdated fencing numbers"),
        )
}

fn engine_options(matches: &ArgMatches) -> engine::Options {
    engine::Options {
        name: get_text(matches, "name").expect("clap requires --name"),
        slots: get_size(matches, "slots"),
        token_time: get_millis(matches, "token-ms"),
        first_token_time: get_millis(matches, "first-token-ms"),
        load_lag: get_millis(matches, "load-lag-ms"),
        crash_on: get_text(matches, "crash-on"),
        ignores_fencing: matches.get_flag("ignores-fencing"),
    }
}

fn service_command() -> Command {
    subcommand("service", "A plain service")
        .arg(text("name", "The target's name").required(true))
        .arg(text("service", "The service's name").default_value("service"))
}

fn service_options(matches: &ArgMatches) -> service::Options {
    service::Options {
        target: get_text(matches, "name").expect("clap requires --name"),
        service: get_text(matches, "service").expect("the argument has a default"),
    }
}
