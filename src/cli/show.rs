//! The command `show`.

use argh::{ArgsInfo, FromArgs};

use super::remote::Remote;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Show the configuration in force at a node, or the one of a version.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// the base URL of a node's operators' listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the version; the one in force where absent
    #[argh(option)]
    pub version: Option<u64>,
    /// the environment variable that holds the operators' key (ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print the document alone, as `submit --document` takes it
    #[argh(switch)]
    pub document: bool,
    /// print everything that is known of it in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows a configuration.
pub(super) fn run(args: &ShowArgs) -> eyre::Result<Exit> {
    let remote = Remote::new(&args.node, &args.key_env)?;
    let path = args.version.map_or("config".to_owned(), |version| format!("config/{version}"));
    let config = remote.get(&path)?.good()?;
    if args.json {
        print_json(&config)?;
        return Ok(Exit::Done);
    }
    let document = serde_json::to_string_pretty(&config["document"])?;
    if args.document {
        print(&format!("{document}\n"))?;
        return Ok(Exit::Done);
    }
    let by = config["by"].as_str().unwrap_or("the settings of the start");
    print(&format!("version {} by {by}\n{document}\n", config["version"]))?;
    Ok(Exit::Done)
}
