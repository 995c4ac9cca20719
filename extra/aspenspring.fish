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
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'node' -d 'Run the node beside one target until it is told to leave.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'mesh' -d 'Run the mesh node of one target on the users\' platform until it is signalled to stop. The environment variable `ASPENSPRING_CONFIG` contains the path of its settings file.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'check' -d 'Check settings, or rules alone, and name everything that is wrong.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'settings' -d 'Print the settings in effect with the origin of each value.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'submit' -d 'Submit a configuration for all sites; it comes into force everywhere, or is refused.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'show' -d 'Show the configuration in force at a node, or the one of a version.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'list' -d 'List the configurations that were accepted, the latest first.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'status' -d 'Show the state of nodes: their targets, limits and floors, and what they send to.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'leave' -d 'Tell a node to leave: it takes no new work, finishes what runs and then ends.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'compare' -d 'Compare the policy arms of runs: goodput by kind of calls, latency, wasted work, attempts and recovery, each as the median over the runs with the least and the greatest.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'explain' -d 'Tell from the logs of the nodes what happened to a request, and why it ended as it did.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'replay' -d 'Feed what a node was told, as recorded with `node --record`, to a fresh node and print what it decides.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'schema' -d 'Print the JSON schema of the settings.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'completions' -d 'Print completions for a shell.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'manual' -d 'Print the manual page.'
complete -c aspenspring -n '__fish_aspenspring_using_command' -f -a 'standin' -d 'run a small stand-in for part of a site\'s surroundings: the platform\'s services, targets, callers or the trace collector'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l settings -r -d 'a file of settings; the base first, then each overlay'
complete -c aspenspring -n '__fish_aspenspring_using_command node' -f -l record -r -d 'a new file that gets everything the node is told, for `replay`'
complete -c aspenspring -n '__fish_aspenspring_using_command mesh' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l settings -r -d 'a file of settings; the base first, then each overlay'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l rules -r -d 'a file with the rules of one site alone'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l document -r -d 'a file with a document for all sites, as it is submitted'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l site -d 'the settings are those of a site, without a node\'s own'
complete -c aspenspring -n '__fish_aspenspring_using_command check' -f -l json -d 'print the problems as a list in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l settings -r -d 'a file of settings; the base first, then each overlay'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l site -d 'the files are those of a site, without a node\'s own'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l json -d 'print a list in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command settings' -f -l merged -d 'print one JSON document that could stand in place of the files, without origins'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l node -r -d 'the base URL of a node\'s operators\' listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l based-on -r -d 'the version that the change is based on, as `show` prints it; 0 before the first'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l base -r -d 'the base file of the settings, whose rules are submitted'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l site -r -d 'the overlay of a site, whose rules are submitted; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l document -r -d 'a file with a whole document, in place of --base and --site'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l drop-site -r -d 'a site that is in force and is meant to be left out; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l by -r -d 'who submits (the environment variable USER)'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l key-env -r -d 'the environment variable that holds the operators\' key (ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command submit' -f -l json -d 'print the outcome in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l node -r -d 'the base URL of a node\'s operators\' listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l version -r -d 'the version; the one in force where absent'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l key-env -r -d 'the environment variable that holds the operators\' key (ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l document -d 'print the document alone, as `submit --document` takes it'
complete -c aspenspring -n '__fish_aspenspring_using_command show' -f -l json -d 'print everything that is known of it in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l node -r -d 'the base URL of a node\'s operators\' listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l key-env -r -d 'the environment variable that holds the operators\' key (ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command list' -f -l json -d 'print a list in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l node -r -d 'the base URL of a node\'s operators\' listener, such as http://10.20.1.11:7003; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l key-env -r -d 'the environment variable that holds the operators\' key (ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command status' -f -l json -d 'print a list in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l node -r -d 'the base URL of the node\'s operators\' listener, such as http://10.20.1.11:7003'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l key-env -r -d 'the environment variable that holds the operators\' key (ASPENSPRING_OPERATOR_KEY)'
complete -c aspenspring -n '__fish_aspenspring_using_command leave' -f -l json -d 'print the reply in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l run -r -d 'a directory with what was kept of a run: records.jsonl, as `standin load --out` writes it, and of each node a scrape of its metrics after the run, NAME.prom, and before it, NAME.prom.before; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l during -r -d 'count only calls due in this time, as 10s..20s; recovery looks at the whole run'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l trigger -r -d 'when the trigger of overload was there, as 10s..20s, for the recovery time'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l plot -r -d 'write a picture of goodput over time to this file (SVG)'
complete -c aspenspring -n '__fish_aspenspring_using_command compare' -f -l json -d 'print a list in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command explain' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command explain' -l json -d 'print the explanation in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l expect -r -d 'a file in JSON with stated outcomes, to be compared'
complete -c aspenspring -n '__fish_aspenspring_using_command replay' -l json -d 'print the report in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command schema' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command schema' -f -l rules -d 'print the schema of the rules of one site alone'
complete -c aspenspring -n '__fish_aspenspring_using_command completions' -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command manual' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'table' -d 'run the platform\'s table service in memory'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'objects' -d 'run the platform\'s object store in memory'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'target' -d 'run one target of a service'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'collector' -d 'run the operators\' trace collector (OTLP over HTTP in JSON)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'fetch' -d 'make one call as an outside caller; fails unless the answer is complete and correct'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'load' -d 'send calls to a site at scheduled times, independent of earlier calls, and summarize the results'
complete -c aspenspring -n '__fish_aspenspring_using_command standin' -f -a 'bench' -d 'compare the latency of calls through nodes with the same calls sent directly to targets'
complete -c aspenspring -n '__fish_aspenspring_using_command standin table' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin table' -f -l listen -r -d 'where to listen, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin objects' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin objects' -f -l listen -r -d 'where to listen, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l service -r -d 'the service that the target belongs to'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l name -r -d 'the target\'s name in its answers (its address)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l listen -r -d 'where to listen, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l node -r -d 'address on which the node accepts targets (target_listen), as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l slots -r -d 'number of calls that run at once (32)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l lane-slots -r -d 'dedicated slots by policy arm, as arm=slots,arm=slots; other arms share --slots'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l queue-max -r -d 'number of calls that may wait for a slot (10000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l connections -r -d 'number of connections that the target announces to accept (1000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l service-ms -r -d 'mean service time of a call without its own calls, in milliseconds (5)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l seed -r -d 'seed of the random service times (1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l calls -r -d 'services that are called while serving each call, as a,b,c'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l parallel -d 'call these services concurrently instead of in sequence'
complete -c aspenspring -n '__fish_aspenspring_using_command standin target' -f -l cold-ms -r -d 'how long the target works slowly after its start, in milliseconds (0)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin collector' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin collector' -f -l listen -r -d 'where to listen, as ip:port'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l url -r -d 'the URL: http://caller_listen/service/path'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l method -r -d 'the HTTP method (GET)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l body -r -d 'the body (empty)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l header -r -d 'a header as name=value; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l depth -r -d 'least depth of the answer, in services (1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin fetch' -f -l timeout-ms -r -d 'timeout in milliseconds (10000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l node -r -d 'a node\'s base URL, http://caller_listen; may be repeated, calls go to the nodes in turn'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l call -r -d 'a kind of calls, \'NAME WEIGHT METHOD /SERVICE/PATH [own|minted]\', where {{n}} stands for the call\'s number, own generates an idempotency key and minted gets one from a node; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l phase -r -d 'a phase, RATE:TIME, as 120:10s (calls per second) or 0.5x:10s (times the capacity); may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l capacity -r -d 'the capacity in calls per second (100)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l deadline-ms -r -d 'deadline of each call, in milliseconds (1000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l depth -r -d 'least depth of a complete answer, in services (1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l retries -r -d 'maximum number of retries of a call that got no complete answer (0)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l polite -d 'clients retry only calls that did not run, and honour retry-after'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l at -r -d 'a request to post at a scheduled time, \'TIME URL BODY\', such as a fault; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l trigger -r -d 'when the cause of overload is present, as 10s..20s; recovery time counts from its end'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l seed -r -d 'seed of the arrival times and kinds (1)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l out -r -d 'file to which a line of JSON is written for each call'
complete -c aspenspring -n '__fish_aspenspring_using_command standin load' -f -l json -d 'print the whole summary in JSON'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l help -d 'display usage information'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l node -r -d 'a node\'s base URL, http://caller_listen; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l target -r -d 'a target\'s base URL; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l path -r -d 'the path, as /SERVICE/PATH'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l concurrent -r -d 'number of concurrent clients; may be repeated'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l round-ms -r -d 'duration of a round in milliseconds (2000)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l rounds -r -d 'number of rounds through nodes, and of direct rounds (3)'
complete -c aspenspring -n '__fish_aspenspring_using_command standin bench' -f -l json -d 'print the comparisons in JSON'
