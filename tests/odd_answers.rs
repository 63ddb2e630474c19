//! Answers of targets that are none, or have a body where there can be none, on the own interface: no
//! byte of them reaches a caller as something else than it was.

mod common;

use actix_rt::task;
use common::raw_target::{FORM_PATH, Form, RawCaller, RawTarget};
use standins::fleet::{Fleet, Plan};

/// What a target sends as a body; a caller that keeps its connection takes it for an answer.
const FAKED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nfaked!";

/// The requests that are sent for each form: one that may be repeated, and one that may not.
const REQUESTS: [(&str, &str); 2] = [("GET", ""), ("POST", "Idempotency-Key: ")];

struct System {
    fleet: Fleet,
    target: RawTarget,
}

impl System {
    async fn start(forms: Vec<Form>) -> Self {
        let plan = Plan { engines: 0, services: 1, ..Plan::default() };
        let mut fleet = Fleet::start(&plan).expect("the fleet starts");
        let target = RawTarget::start(forms);
        fleet.targets[0].redirect_agent(target.address).expect("the agent starts");
        common::declare_and_wait(&fleet).await;
        Self { fleet, target }
    }

    /// Requests a form, and then something sound on the same connection. Returns what came for the
    /// form, after a check that the second request got its own answer if the connection was kept.
    async fn play(&self, form: usize, (method, key): (&'static str, &'static str)) -> String {
        let entry = self.fleet.entry(0);
        let (first, second) = task::spawn_blocking(move || {
            let mut caller = RawCaller::open(entry);
            let headers = match key {
                "" => String::new(),
                key => format!("{key}{method}-{form}\r\n"),
            };
            let first = caller.exchange(method, &format!("{FORM_PATH}{form}"), &headers);
            (first, caller.exchange("GET", "/sound", ""))
        })
        .await
        .expect("no panic");
        assert!(!first.contains("faked!"), "form {form}, {method}: {first:?}");
        assert!(!second.contains("faked!"), "form {form}, {method}: {second:?}");
        assert!(second.is_empty() || second.ends_with("sound"), "form {form}: {second:?}");
        first
    }
}

fn closed(bytes: String) -> Form {
    Form { bytes, resets: false }
}

/// Returns true if an answer is an error of the entry that does not claim that nothing ran.
fn is_broken(answer: &str) -> bool {
    let statuses = ["HTTP/1.1 502", "HTTP/1.1 504", "HTTP/1.1 409"];
    let is_error = statuses.iter().any(|status| answer.starts_with(status));
    is_error && answer.contains("\"executed\":") && !answer.contains("\"executed\":\"no\"")
}

// Guards against a body after a head that has none, which the caller took for its next answer.
#[actix_rt::test]
async fn the_body_of_an_answer_without_one_was_taken_for_the_next_answer() {
    let chunk = format!("{:x}\r\n{FAKED}\r\n0\r\n\r\n", FAKED.len());
    let framings = [
        format!("content-length: {}\r\n\r\n{FAKED}", FAKED.len()),
        format!("transfer-encoding: chunked\r\n\r\n{chunk}"),
        format!("\r\n{FAKED}"),
    ];
    let statuses = ["204 No Content", "304 Not Modified"];
    let forms: Vec<Form> = statuses
        .iter()
        .flat_map(|status| framings.iter().map(move |rest| format!("HTTP/1.1 {status}\r\n{rest}")))
        .map(closed)
        .collect();
    let count = forms.len();
    let system = System::start(forms).await;
    for form in 0..count {
        for request in REQUESTS {
            let answer = system.play(form, request).await;
            let passed_on =
                answer.starts_with("HTTP/1.1 204") || answer.starts_with("HTTP/1.1 304");
            assert!(passed_on || is_broken(&answer), "form {form}: {answer:?}");
        }
    }
}

// Guards against an interim answer that reached callers as the final one, with another one behind it.
#[actix_rt::test]
async fn an_interim_answer_was_relayed_as_the_final_one() {
    let statuses = ["100 Continue", "101 Switching Protocols", "103 Early Hints", "199 Odd"];
    let length = format!("content-length: {}\r\n\r\n{FAKED}", FAKED.len());
    let mut forms: Vec<Form> =
        statuses.iter().map(|status| closed(format!("HTTP/1.1 {status}\r\n{length}"))).collect();
    forms.push(closed("HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000)));
    let broken = forms.len();
    let sound = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nafter";
    for status in ["100 Continue", "103 Early Hints"] {
        forms.push(closed(format!("HTTP/1.1 {status}\r\n\r\n{sound}")));
    }
    let count = forms.len();
    let system = System::start(forms).await;
    for form in 0..count {
        for request in REQUESTS {
            let answer = system.play(form, request).await;
            match form < broken {
                true => assert!(is_broken(&answer), "form {form}: {answer:?}"),
                false => assert!(answer.ends_with("\r\n\r\nafter"), "form {form}: {answer:?}"),
            }
        }
    }
}

// Guards against a status that is none and reaches a caller as one.
#[actix_rt::test]
async fn an_answer_whose_status_is_none_reaches_no_caller() {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 020 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 20x OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1  OK",
        "HTTP/1.1",
        "HTTP/9.9 200 OK",
        "SPDY/1.1 200 OK",
        "200 OK",
    ];
    let forms: Vec<Form> = lines
        .iter()
        .map(|line| closed(format!("{line}\r\ncontent-length: 6\r\n\r\nfaked!")))
        .collect();
    let system = System::start(forms).await;
    for (form, line) in lines.iter().enumerate() {
        for request in REQUESTS {
            let before = system.target.runs();
            let answer = system.play(form, request).await;
            let ran = system.target.runs() > before;
            // 503 promises that the request has not run.
            let is_true = is_broken(&answer) || (answer.starts_with("HTTP/1.1 503") && !ran);
            assert!(is_true, "{line}: {answer:?}, ran {ran}");
        }
    }
}

// Guards against an answer that broke off in its head or body and reached a caller framed as whole.
#[actix_rt::test]
async fn an_answer_that_breaks_off_does_not_look_whole() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n\r\n";
    let mut beginnings: Vec<String> =
        (1..whole.len()).step_by(7).map(|length| whole[..length].to_owned()).collect();
    beginnings.push(whole.to_owned());
    beginnings.push(format!("{whole}one"));
    // Only the end of the connection marks the end of these, which a crash looks like as well.
    beginnings.push("HTTP/1.1 200 OK\r\n\r\n".to_owned());
    beginnings.push("HTTP/1.1 200 OK\r\n\r\none".to_owned());
    beginnings.push("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\none".to_owned());
    beginnings.push("HTTP/1.0 200 OK\r\n\r\none".to_owned());
    let forms: Vec<Form> = beginnings
        .iter()
        .flat_map(|bytes| [false, true].map(|resets| Form { bytes: bytes.clone(), resets }))
        .collect();
    let count = forms.len();
    let system = System::start(forms).await;
    for form in 0..count {
        for request in REQUESTS {
            let answer = system.play(form, request).await;
            assert!(is_broken(&answer), "{:?}: {answer:?}", beginnings[form / 2]);
        }
    }
}
