//! The command `submit`.

use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;
use serde_json::Value;

use super::remote::{NoReply, Remote, Reply};
use super::{DEFAULT_KEY_ENV, Exit, print, print_json, refuse};
use crate::config::{self, Problem};

/// Submit a configuration for all sites; it comes into force everywhere, or is refused.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// the base URL of a node's operators' listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the version that the change is based on, as `show` prints it; 0 before the first
    #[argh(option)]
    pub based_on: u64,
    /// the base file of the settings, whose rules are submitted
    #[argh(option)]
    pub base: Option<PathBuf>,
    /// the overlay of a site, whose rules are submitted; may be repeated
    #[argh(option)]
    pub site: Vec<PathBuf>,
    /// a file with a whole document, in place of --base and --site
    #[argh(option)]
    pub document: Option<PathBuf>,
    /// a site that is in force and is meant to be left out; may be repeated
    #[argh(option)]
    pub drop_site: Vec<String>,
    /// who submits (the environment variable USER)
    #[argh(option)]
    pub by: Option<String>,
    /// the environment variable that holds the operators' key (ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print the outcome in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Submits a configuration.
pub(super) fn run(args: &SubmitArgs) -> eyre::Result<Exit> {
    let document = match document(args)? {
        Some(Ok(document)) => document,
        Some(Err(problems)) => return refuse(&problems, args.json),
        None => {
            eprintln!("Name either --base and the --site of each site, or --document.");
            return Ok(Exit::Usage);
        }
    };
    let remote = Remote::new(&args.node, &args.key_env)?;
    let forgotten = forgotten_sites(args, &document, &remote.get("config")?.good()?)?;
    if !forgotten.is_empty() {
        eprintln!("Not submitted: {} in force and not named. Name the", are(&forgotten));
        eprintln!("files of all sites with --site, or leave a site out with --drop-site.");
        return Ok(Exit::Usage);
    }
    let user = || std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let by = args.by.clone().unwrap_or_else(user);
    match remote.put_config(document, args.based_on, &by)? {
        Ok(reply) => report(args, &reply),
        Err(NoReply::Lost(node)) => {
            eprintln!("{node} did not reply. The configuration may have been accepted, now or");
            eprintln!("within seconds: run `show` before you submit again.");
            Ok(Exit::Unknown)
        }
        Err(error) => Err(error.into()),
    }
}

/// The document that is named, checked; none where it is not named as it should be.
fn document(args: &SubmitArgs) -> eyre::Result<Option<Result<String, Vec<Problem>>>> {
    match (&args.document, &args.base) {
        (Some(file), None) if args.site.is_empty() => read_document(file).map(Some),
        (None, Some(base)) if !args.site.is_empty() => {
            let composed = config::compose_document(base, &args.site);
            Ok(Some(composed.map(|document| document.to_string())))
        }
        _ => Ok(None),
    }
}

/// The sites that are in force and that the document neither names nor is meant to leave out.
///
/// The nodes of a site that a document does not provide for cannot use it and stop serving.
fn forgotten_sites(
    args: &SubmitArgs,
    document: &str,
    in_force: &Value,
) -> eyre::Result<Vec<String>> {
    let document: Value = serde_json::from_str(document)?;
    let mut forgotten = Vec::new();
    let sites = in_force["document"]["sites"].as_object();
    for site in sites.into_iter().flat_map(|sites| sites.keys()) {
        if document["sites"].get(site).is_none() && !args.drop_site.contains(site) {
            forgotten.push(site.clone());
        }
    }
    Ok(forgotten)
}

/// The names of sites, with the verb that belongs to them.
fn are(sites: &[String]) -> String {
    let verb = if sites.len() == 1 { "is" } else { "are" };
    format!("{} {verb}", sites.join(", "))
}

/// Reads a file with a whole document and checks it.
pub(super) fn read_document(file: &Path) -> eyre::Result<Result<String, Vec<Problem>>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
    Ok(config::read_site_rules(file, &text).map(|_| text))
}

/// Says what became of the submission.
fn report(args: &SubmitArgs, reply: &Reply) -> eyre::Result<Exit> {
    let exit = match (reply.status, reply.text("outcome")) {
        (200..=299, _) => Exit::Done,
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
        Exit::Done => print(&format!("Accepted as version {}.\n", reply.body["version"]))?,
        Exit::Conflict => eprintln!("Not accepted: {}", conflict(&reply.body["lost_to"])),
        Exit::Usage => {
            for problem in reply.body["problems"].as_array().into_iter().flatten() {
                eprintln!("{}", problem.as_str().unwrap_or_default());
            }
            eprintln!("Not accepted: the document makes no valid rules.");
        }
        Exit::Unknown => eprintln!("It may have been accepted: {}", reply.text("detail")),
        Exit::Failed => eprintln!(
            "Not accepted: {} {} {}",
            reply.status,
            reply.text("title"),
            reply.text("detail")
        ),
    }
    Ok(exit)
}

/// What a submission lost to, in words.
fn conflict(lost_to: &Value) -> String {
    if lost_to.is_null() {
        return "the version that it is based on was never accepted.".to_owned();
    }
    let by = lost_to["by"].as_str().unwrap_or_default();
    format!("version {} by {by} was accepted in the meantime.", lost_to["version"])
}
