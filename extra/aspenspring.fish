function __fish_aspenspring_using_command
    set -l cmd (commandline -xpc)
    set -e cmd[1]
    set -l target_cmd $argv

    set -l known_value_flags 'at' 'base' 'based-on' 'body' 'by' 'call' 'calls' 'capacity' 'cold-ms' 'concurrent' 'connections' 'deadline-ms' 'depth' 'document' 'drop-site' 'during' 'expect' 'header' 'key-env' 'lane-slots' 'listen' 'method' 'name' 'node' 'out' 'path' 'phase' 'plot' 'queue-max' 'record' 'retries' 'round-ms' 'rounds' 'rules' 'run' 'seed' 'service' 'service-ms' 'settings' 'site' 'slots' 'target' 'timeout-ms' 'trigger' 'url' 'version' 

    set -l i 1
    set -l cleaned_cmd
    while test $i -le (count $cmd)
        set -l arg $cmd[$i]
        if string match -q -- "-*" $arg
            set -l pure_flag (string replace -r '^--?' '' -- $arg)
            if contains -- $pure_flag $known_value_flags
                set -l next_i (math $i + 1)
                if test $next_i -le (count $cmd)
                    if not string match -q -- "-*" $cmd[$next_i]
                        set i $next_i
                    end
                end
            end
        else
            set -a cleaned_cmd $arg
        end
        set i (math $i + 1)
    end

    set -l count_cleaned (count $cleaned_cmd)
    set -l count_target (count $target_cmd)
    
    if test $count_cleaned -ne $count_target
        return 1
    end
    
    for i in (seq $count_target)
        if test $cleaned_cmd[$i] != $target_cmd[$i]
            return 1
        end
    end
    
    return 0
end

complete -c aspenspring -n '__fish_aspenspring_using_command' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'node' -d 'Run the node of one target until it is drained.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'mesh' -d 'Run the mesh node of one target on the users\' platform until it receives a stop signal. The environment variable `ASPENSPRING_CONFIG` contains the path of its settings file.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'check' -d 'Validate settings, rules or a configuration document and report every problem.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'settings' -d 'Print the effective settings with the origin of each value.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'submit' -d 'Submit a configuration for all sites; it is either accepted as a whole or rejected.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'show' -d 'Show the configuration in force at a node, or a given version of it.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'list' -d 'List the accepted configurations, newest first.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'status' -d 'Show the status of nodes: their targets, concurrency limits, admission floors and peers.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'leave' -d 'Drain and stop a node: it refuses new calls, finishes those in flight and exits.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'compare' -d 'Compare the policy arms of recorded runs: goodput per kind of call, latency, wasted work, attempts and recovery time, each as the median, minimum and maximum over the runs.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'explain' -d 'Reconstruct from node logs what happened to a request and why it ended as it did.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'replay' -d 'Replay a trace recorded with `node --record` against a new node and report its decisions.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'schema' -d 'Print the JSON schema of the settings.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'completions' -d 'Print the completion script for a shell.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'manual' -d 'Print the manual page.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'standin' -d 'run a stand-in for one of the systems around a site: a service of the platform, a target, a caller or the trace collector'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l settings -r -d 'a settings file; give the base first, then the overlays in order'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l record -r -d 'record every event that the node handles to this new file, for `replay`'
complete -c aspenspring -n '__fish_aspenspring_using_command mesh' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l settings -r -d 'a settings file; give the base first, then the overlays in order'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l rules -r -d 'a file with only the rules of one site'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l document -r -d 'a file with a configuration document for all sites, as taken by `submit --document`'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l site -d 'treat the settings as those of a site, without node settings'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l json -d 'print the problems as a JSON array'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l settings -r -d 'a settings file; give the base first, then the overlays in order'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l site -d 'treat the settings as those of a site, without node settings'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l json -d 'print a JSON array'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l merged -d 'print the settings merged into a single JSON document, without origins'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l node -r -d 'the base URL of a node\'s operator listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l based-on -r -d 'the version that the change is based on, as printed by `show`; 0 if none was accepted yet'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l base -r -d 'the base settings file; its rules are submitted'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l site -r -d 'the settings overlay of a site; its rules are submitted; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l document -r -d 'a file with a complete document, instead of --base and --site'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l drop-site -r -d 'a site to remove from the configuration in force; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l by -r -d 'the name of the submitter (default: the environment variable USER)'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l key-env -r -d 'the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l json -d 'print the outcome as JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l node -r -d 'the base URL of a node\'s operator listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l version -r -d 'the version to show; the one in force by default'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l key-env -r -d 'the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l document -d 'print only the document, as taken by `submit --document`'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l json -d 'print the document, its metadata and its history as JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l node -r -d 'the base URL of a node\'s operator listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l key-env -r -d 'the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l json -d 'print a JSON array'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l node -r -d 'the base URL of a node\'s operator listener, such as http://10.20.1.11:7003; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l key-env -r -d 'the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l json -d 'print a JSON array'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l node -r -d 'the base URL of the node\'s operator listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l key-env -r -d 'the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l json -d 'print the reply as JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l run -r -d 'the directory of a run, with records.jsonl as written by `standin load --out` and, for each node, a metrics scrape taken after the run, NAME.prom, and optionally one taken before it, NAME.prom.before; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l during -r -d 'count only calls scheduled in this window, such as 10s..20s; recovery time always uses the whole run'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l trigger -r -d 'the window in which the cause of the overload was active, such as 10s..20s; needed for the recovery time'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l plot -r -d 'write a plot of goodput over time to this file (SVG)'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l json -d 'print a JSON array'
complete -c aspenspring -n '__fish_aspenspring_using_command explain' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command explain' -l json -d 'print the explanation as JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l expect -r -d 'a JSON file with expectations to check the report against'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l json -d 'print the report as JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command schema' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command schema' -f -l rules -d 'print only the schema of the rules of one site'
complete -c aspenspring -n '__fish_aspenspring_using_command completions' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command manual' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'table' -d 'run the platform\'s table service in memory'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'objects' -d 'run the platform\'s object store in memory'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'target' -d 'run one target of a service'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'collector' -d 'run the operators\' trace collector (OTLP over HTTP in JSON)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'fetch' -d 'make one call as an external caller; fails unless the answer is complete and correct'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'load' -d 'send calls to a site at scheduled times, independent of earlier calls, and summarize the results'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'bench' -d 'compare the latency of calls through nodes with the same calls sent directly to targets'
complete -c aspenspring -n '__fish_aspenspring_using_command standin table' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin table' -f -l listen -r -d 'address to listen on, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin objects' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin objects' -f -l listen -r -d 'address to listen on, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l service -r -d 'the service that the target belongs to'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l name -r -d 'the target\'s name in its answers (default: its address)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l listen -r -d 'address to listen on, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l node -r -d 'address on which the node accepts the target (target_listen), as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l slots -r -d 'maximum number of calls that run concurrently (default: 32)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l lane-slots -r -d 'dedicated slots by policy arm, as arm=slots,arm=slots; other arms share --slots'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l queue-max -r -d 'maximum number of calls that wait for a slot (default: 10000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l connections -r -d 'maximum number of connections that the target announces (default: 1000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l service-ms -r -d 'mean service time of a call without its child calls, in milliseconds (default: 5)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l seed -r -d 'seed of the random service times (default: 1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l calls -r -d 'services to which each call makes child calls, as a,b,c'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l parallel -d 'make the child calls concurrently instead of in sequence'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l cold-ms -r -d 'how long after its start the target serves calls slowly, in milliseconds (default: 0)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin collector' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin collector' -f -l listen -r -d 'address to listen on, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l url -r -d 'the URL: http://caller_listen/service/path'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l method -r -d 'the HTTP method (default: GET)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l body -r -d 'the body (default: empty)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l header -r -d 'a header as name=value; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l depth -r -d 'minimum depth of the answer, in services (default: 1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l timeout-ms -r -d 'timeout in milliseconds (default: 10000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l node -r -d 'a node\'s base URL, http://caller_listen; may be repeated, calls go to the nodes in turn'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l call -r -d 'a kind of calls, \'NAME WEIGHT METHOD /SERVICE/PATH [own|minted]\', where {{n}} stands for the call\'s number, own generates an idempotency key and minted gets one from a node; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l phase -r -d 'a phase, RATE:TIME, such as 120:10s (calls per second) or 0.5x:10s (times the capacity); may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l capacity -r -d 'the capacity in calls per second (default: 100)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l deadline-ms -r -d 'deadline of each call, in milliseconds (default: 1000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l depth -r -d 'minimum depth of a complete answer, in services (default: 1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l retries -r -d 'maximum number of retries of a call that got no complete answer (default: 0)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l polite -d 'clients retry only calls that did not run, and honour retry-after'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l at -r -d 'a request to post at a scheduled time, \'TIME URL BODY\', for example to inject a fault; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l trigger -r -d 'the window in which the cause of the overload is active, such as 10s..20s; recovery time counts from its end'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l seed -r -d 'seed of the arrival times and kinds (default: 1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l out -r -d 'file to which a line of JSON is written for each call'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l json -d 'print the whole summary in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l node -r -d 'a node\'s base URL, http://caller_listen; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l target -r -d 'a target\'s base URL; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l path -r -d 'the path, as /SERVICE/PATH'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l concurrent -r -d 'number of concurrent clients; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l round-ms -r -d 'duration of a round in milliseconds (default: 2000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l rounds -r -d 'number of rounds through nodes, and of direct rounds (default: 3)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l json -d 'print the comparisons in JSON'
