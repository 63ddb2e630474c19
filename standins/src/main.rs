//! Runs one stand-in until SIGTERM or an interrupt.

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
        .about("Small fakes of the systems outside, for tests and the demo only")
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
        _ => unreachable!("clap knows no other subcommand"),
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
    Command::new(name).about(about).arg(listen.help("Where to listen; port 0 takes a free one"))
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
        .arg(number("writes-per-second", "300", "Writes taken in one second"))
        .arg(number("reads-per-second", "2000", "Reads taken in one second"))
        .arg(number("history", "10000", "Changes kept for watches"))
        .arg(number("progress-ms", "1000", "How often an idle watch hears the revision"))
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
        .arg(number("bytes-per-second", "50000000", "What all readers get together"))
        .arg(number("queue", "16", "Reads under way at once"))
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
        .arg(number("slots", "4", "Requests that run at once"))
        .arg(number("token-ms", "5", "Time for one token"))
        .arg(number("first-token-ms", "20", "Time for the first token"))
        .arg(number("load-lag-ms", "0", "Age of the load that is reported"))
        .arg(text("crash-on", "Abort the process when a prompt contains this"))
        .arg(ignores.action(clap::ArgAction::SetTrue).help("Take orders with old fencing numbers"))
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
