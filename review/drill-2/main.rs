//! Cases of the second review: `drill CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod earlier_born;
mod engine;
mod forgotten;
mod http;
mod json;
mod lapse;
mod left_unseen;
mod odd_entry;
mod record;
mod site;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: drill CASE FOLDER");
        return ExitCode::from(2);
    };
    // A case takes 120 s at most; `run.sh` ends the fronts.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(116));
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = |record: &Record| match case.as_str() {
        "left-unseen" => left_unseen::run(record, has_trouble),
        "earlier-born" => earlier_born::run(record, has_trouble),
        "forgotten" => forgotten::run(record, has_trouble),
        "lapse" => lapse::run(record, has_trouble),
        "odd-entry" => odd_entry::run(record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let outcome = Record::create(&PathBuf::from(folder)).and_then(|record| run(&record));
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
