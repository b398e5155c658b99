//! The scripts of review 3: `review-3 CASE FOLDER`.

mod world;

mod case_11;
mod case_12;

use std::process::exit;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        exit(2);
    };
    // 1: with the disruption; 0: without it. Some cases know parts of it by name.
    let trouble = std::env::var("TROUBLE").unwrap_or("1".to_owned());
    let code = match case.as_str() {
        "11" => case_11::run(&folder, &trouble),
        "12" => case_12::run(&folder, &trouble),
        _ => {
            eprintln!("no case {case}");
            2
        }
    };
    exit(code);
}
