//! The `submit` command: submits a configuration for all sites.

use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;
use serde_json::Value;

use super::remote::{NoReply, OperatorClient, Reply};
use super::{DEFAULT_KEY_ENV, Exit, print, print_json, report_problems};
use crate::config::{self, Problem};

/// Submit a configuration for all sites; it is either accepted as a whole or rejected.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// the base URL of a node's operator listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the version that the change is based on, as printed by `show`; 0 if none was accepted yet
    #[argh(option)]
    pub based_on: u64,
    /// the base settings file; its rules are submitted
    #[argh(option)]
    pub base: Option<PathBuf>,
    /// the settings overlay of a site; its rules are submitted; may be repeated
    #[argh(option)]
    pub site: Vec<PathBuf>,
    /// a file with a complete document, instead of --base and --site
    #[argh(option)]
    pub document: Option<PathBuf>,
    /// a site to remove from the configuration in force; may be repeated
    #[argh(option)]
    pub drop_site: Vec<String>,
    /// the name of the submitter (default: the environment variable USER)
    #[argh(option)]
    pub by: Option<String>,
    /// the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print the outcome as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Builds the document, checks that it omits no site by mistake and submits it.
pub(super) fn run(args: &SubmitArgs) -> eyre::Result<Exit> {
    let document = match build_document(args)? {
        Some(Ok(document)) => document,
        Some(Err(problems)) => return report_problems(&problems, args.json),
        None => {
            eprintln!("Give either --base with a --site for each site, or --document.");
            return Ok(Exit::Usage);
        }
    };
    let client = OperatorClient::new(&args.node, &args.key_env)?;
    let missing = missing_sites(args, &document, &client.get("config")?.success_body()?)?;
    if !missing.is_empty() {
        eprintln!("Not submitted: {} in force but missing from the document.", with_verb(&missing));
        eprintln!("Give every site with --site, or remove one on purpose with --drop-site.");
        return Ok(Exit::Usage);
    }
    let user = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let by = args.by.clone().unwrap_or_else(user);
    match client.put_config(document, args.based_on, &by)? {
        Ok(reply) => report_outcome(args, &reply),
        Err(NoReply::ReplyLost(node)) => {
            eprintln!("{node} did not reply. The configuration may have been accepted, or may");
            eprintln!("still be accepted within seconds. Run `show` before submitting again.");
            Ok(Exit::Unknown)
        }
        Err(error) => Err(error.into()),
    }
}

/// Builds and validates the document from the arguments; `None` if their combination is invalid.
fn build_document(args: &SubmitArgs) -> eyre::Result<Option<Result<String, Vec<Problem>>>> {
    match (&args.document, &args.base) {
        (Some(file), None) if args.site.is_empty() => read_document(file).map(Some),
        (None, Some(base)) if !args.site.is_empty() => {
            let composed = config::compose_document(base, &args.site);
            Ok(Some(composed.map(|document| document.to_string())))
        }
        _ => Ok(None),
    }
}

/// The sites in the configuration in force that are neither in the document nor named by
/// `--drop-site`.
///
/// The nodes of a site that is missing from the document cannot use it and stop serving.
fn missing_sites(args: &SubmitArgs, document: &str, in_force: &Value) -> eyre::Result<Vec<String>> {
    let document: Value = serde_json::from_str(document)?;
    let mut missing = Vec::new();
    let sites = in_force["document"]["sites"].as_object();
    for site in sites.into_iter().flat_map(|sites| sites.keys()) {
        if document["sites"].get(site).is_none() && !args.drop_site.contains(site) {
            missing.push(site.clone());
        }
    }
    Ok(missing)
}

/// Joins the names of sites and appends `is` or `are`.
fn with_verb(sites: &[String]) -> String {
    let verb = if sites.len() == 1 { "is" } else { "are" };
    format!("{} {verb}", sites.join(", "))
}

/// Reads and validates a complete document.
pub(super) fn read_document(file: &Path) -> eyre::Result<Result<String, Vec<Problem>>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    Ok(config::read_site_rules(file, &text).map(|_| text))
}

/// Prints the outcome of the submission and returns its exit code.
fn report_outcome(args: &SubmitArgs, reply: &Reply) -> eyre::Result<Exit> {
    let exit = match (reply.status, reply.text("outcome")) {
        (200..=299, _) => Exit::Success,
        (409, _) => Exit::Conflict,
        (422, _) => Exit::Usage,
        (_, "unknown") => Exit::Unknown,
        _ => Exit::Failed,
    };
    if args.json {
        print_json(&reply.body)?;
        return Ok(exit);
    }
    match exit {
        Exit::Success => print(&format!("Accepted as version {}.\n", reply.body["version"]))?,
        Exit::Conflict => eprintln!("Not accepted: {}", describe_conflict(&reply.body["lost_to"])),
        Exit::Usage => {
            for problem in reply.body["problems"].as_array().into_iter().flatten() {
                eprintln!("{}", problem.as_str().unwrap_or_default());
            }
            eprintln!("Not accepted: the rules of the document are invalid.");
        }
        Exit::Unknown => eprintln!(
            "Outcome unknown: the configuration may have been accepted: {}",
            reply.text("detail")
        ),
        Exit::Failed => eprintln!(
            "Not accepted: {} {} {}",
            reply.status,
            reply.text("title"),
            reply.text("detail")
        ),
    }
    Ok(exit)
}

/// Describes the accepted version that a submission conflicts with.
fn describe_conflict(lost_to: &Value) -> String {
    if lost_to.is_null() {
        return "the version it is based on was never accepted.".to_owned();
    }
    let by = lost_to["by"].as_str().unwrap_or_default();
    format!("version {} by {by} was accepted in the meantime.", lost_to["version"])
}
