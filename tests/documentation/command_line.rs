//! Tests the help texts, and that errors in settings name the file, the field, the bad value and
//! the allowed values.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{env, fs, process};

use serde_json::{Value, json};

use crate::read;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bitternwall");
const ENTRY_EXAMPLE: &str = "examples/settings/entry.json";
const AGENT_EXAMPLE: &str = "examples/settings/agent-plain.json";

fn run(program: &str, arguments: &[&str]) -> Output {
    // The help is wrapped to the width of the terminal, and a test has no terminal.
    Command::new(program).args(arguments).env("COLUMNS", "100").output().unwrap()
}

fn help(program: &str, arguments: &[&str]) -> String {
    let output = run(program, arguments);
    assert!(output.status.success(), "{program} {arguments:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// A temporary file that is removed when the value is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let file = env::temp_dir().join(format!("bitternwall-{}-{name}", process::id()));
        fs::write(&file, text).unwrap();
        Self(file)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        // A file that remains does not affect another run, since its name contains the process id.
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs `bitternwall check` on a file with this text, which must fail. Returns its error output,
/// with FILE in place of the path.
fn check(role: &str, name: &str, text: &str) -> String {
    let temp_file = TempFile::new(name, text);
    let file: &Path = &temp_file.0;
    let output = run(PROGRAM, &["check", role, file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8(output.stderr).unwrap();
    without_position(&errors.replace(file.to_str().unwrap(), "FILE"))
}

/// Removes the line and column of the bad value, which change with every edit of an example.
fn without_position(errors: &str) -> String {
    let position = errors.find(" at line ").unwrap_or(errors.len());
    errors[..position].to_owned()
}

/// Returns an example with the value at a JSON pointer replaced.
fn with_value(example: &str, pointer: &str, value: Value) -> String {
    let mut document: Value = serde_json::from_str(&read(example)).unwrap();
    *document.pointer_mut(pointer).unwrap() = value;
    document.to_string()
}

#[test]
fn a_value_out_of_range_is_named() {
    let text = with_value(ENTRY_EXAMPLE, "/address_keep_ms", json!(5));
    insta::assert_snapshot!(check("entry", "range.json", &text));
}

#[test]
fn a_bad_element_of_a_list_is_named() {
    let text = with_value(ENTRY_EXAMPLE, "/store/endpoints/0", json!("https://127.0.0.1:2379"));
    insta::assert_snapshot!(check("entry", "element.json", &text));
}

#[test]
fn a_relation_between_two_values_is_named() {
    let text = with_value(AGENT_EXAMPLE, "/claims/bucket_s", json!(7200));
    insta::assert_snapshot!(check("agent", "relation.json", &text));
}

#[test]
fn a_value_of_another_type_is_named() {
    let text = with_value(AGENT_EXAMPLE, "/queue/slots", json!("many"));
    insta::assert_snapshot!(check("agent", "type.json", &text));
}

#[test]
fn an_unknown_field_is_named() {
    let text = with_value(AGENT_EXAMPLE, "/queue", json!({ "slot": 4 }));
    insta::assert_snapshot!(check("agent", "unknown.json", &text));
}

#[test]
fn a_file_of_the_other_daemon_is_refused() {
    let errors = check("agent", "other.json", &read(ENTRY_EXAMPLE));
    assert!(errors.contains("`name`"), "{errors}");
}

#[test]
fn the_daemons_name_the_bad_value_as_well() {
    let text = with_value(ENTRY_EXAMPLE, "/address_keep_ms", json!(5));
    let temp_file = TempFile::new("daemon.json", &text);
    let file = temp_file.0.to_str().unwrap();
    let program = env!("CARGO_BIN_EXE_bitternwall-entry");
    let output = run(program, &["--check", "--settings", file]);
    assert_eq!(output.status.code(), Some(1));
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    for part in [file, "address_keep_ms", "= 5", "100 to 600000"] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
}

#[test]
fn help_of_the_operators_program() {
    insta::assert_snapshot!(help(PROGRAM, &["--help"]));
}

#[test]
fn help_of_apply() {
    insta::assert_snapshot!(help(PROGRAM, &["apply", "--help"]));
}

#[test]
fn help_of_check() {
    insta::assert_snapshot!(help(PROGRAM, &["check", "--help"]));
}

#[test]
fn help_of_the_entry() {
    insta::assert_snapshot!(help(env!("CARGO_BIN_EXE_bitternwall-entry"), &["--help"]));
}

#[test]
fn help_of_the_agent() {
    insta::assert_snapshot!(help(env!("CARGO_BIN_EXE_bitternwall-agent"), &["--help"]));
}
