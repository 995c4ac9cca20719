//! Tests of the exit codes and diagnostics of the command line, and of the generated files under
//! `extra`.

use std::path::Path;
use std::process::{Command, Output};

use argh::{ArgsInfo, CommandInfoWithArgs};
use aspenspring::cli::{Args, Shell, completion_script, manual_page};
use aspenspring::config::schema::settings_schema;

fn read(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_aspenspring"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the program runs")
}

#[test]
fn the_committed_schema_is_current() {
    let committed: serde_json::Value =
        serde_json::from_str(&read("extra/settings.schema.json")).expect("JSON");
    assert!(committed == settings_schema(), "the schema is outdated: run extra/generate.sh");
}

#[test]
fn the_committed_completions_are_current_and_name_every_command() {
    for (shell, file) in [
        (Shell::Bash, "extra/aspenspring.bash"),
        (Shell::Zsh, "extra/_aspenspring"),
        (Shell::Fish, "extra/aspenspring.fish"),
    ] {
        let committed = read(file);
        assert!(committed == completion_script(shell), "{file} is outdated: run extra/generate.sh");
        for command in Args::get_args_info().commands {
            assert!(committed.contains(command.name), "{file}: {}", command.name);
        }
    }
}

/// Collects every option of a command and its subcommands, and the names of the subcommands, as
/// they appear in the manual page.
fn collect_terms(command: &CommandInfoWithArgs, terms: &mut Vec<String>) {
    for flag in command.flags {
        terms.push(flag.long.replace('-', "\\-"));
    }
    for subcommand in &command.commands {
        terms.push(format!(" {}\n", subcommand.name));
        collect_terms(&subcommand.command, terms);
    }
}

#[test]
fn the_committed_manual_is_current_and_names_every_command_and_option() {
    let committed = read("extra/aspenspring.1");
    assert!(
        committed == manual_page().expect("a page"),
        "the page is outdated: run extra/generate.sh"
    );
    let mut expected_terms = Vec::new();
    collect_terms(&Args::get_args_info(), &mut expected_terms);
    for term in expected_terms {
        assert!(committed.contains(&term) || term == "\\-\\-help", "{term}");
    }
}

#[test]
fn exit_codes_distinguish_usage_errors_from_success() {
    let base = "examples/sites/base.json";
    let site = "examples/sites/jordan.json";
    let node = "examples/sites/nodes/souq-catalogue-1.json";
    let valid = ["check", "--settings", base, "--settings", site, "--settings", node];
    assert_eq!(run(&valid).status.code(), Some(0));
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["nonsense"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["completions", "tcsh"]).status.code(), Some(2));
    assert_eq!(run(&["check", "--settings", site]).status.code(), Some(2));
}

#[test]
fn refused_settings_come_as_lines_or_as_json() {
    let bad = "tests/settings/refused/doubled-member.json";
    let lines = run(&["check", "--settings", bad]);
    assert_eq!(lines.status.code(), Some(2));
    assert!(lines.stdout.is_empty());
    let text = String::from_utf8(lines.stderr).expect("UTF-8");
    assert!(text.contains(&format!("{bad}: /node/leave_ms: found a member")), "{text}");
    let json = run(&["check", "--json", "--settings", bad]);
    assert_eq!(json.status.code(), Some(2));
    let list: Vec<serde_json::Value> = serde_json::from_slice(&json.stdout).expect("a list");
    assert!(list.iter().any(|problem| problem["path"] == "/node/leave_ms"));
}
