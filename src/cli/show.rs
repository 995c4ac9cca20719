//! The `show` command: prints a configuration document.

use argh::{ArgsInfo, FromArgs};

use super::remote::OperatorClient;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Show the configuration in force at a node, or a given version of it.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// the base URL of a node's operator listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the version to show; the one in force by default
    #[argh(option)]
    pub version: Option<u64>,
    /// the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print only the document, as taken by `submit --document`
    #[argh(switch)]
    pub document: bool,
    /// print the document, its metadata and its history as JSON
    #[argh(switch)]
    pub json: bool,
}

pub(super) fn run(args: &ShowArgs) -> eyre::Result<Exit> {
    let client = OperatorClient::new(&args.node, &args.key_env)?;
    let path = args.version.map_or("config".to_owned(), |version| format!("config/{version}"));
    let config = client.get(&path)?.success_body()?;
    if args.json {
        print_json(&config)?;
        return Ok(Exit::Success);
    }
    let document = serde_json::to_string_pretty(&config["document"])?;
    if args.document {
        print(&format!("{document}\n"))?;
        return Ok(Exit::Success);
    }
    let by = config["by"].as_str().unwrap_or("startup settings");
    print(&format!("version {} by {by}\n{document}\n", config["version"]))?;
    Ok(Exit::Success)
}
