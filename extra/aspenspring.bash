_aspenspring() {
    local i cur prev opts cmds
    COMPREPLY=()
    cur="${COMP_WORDS[COMP_CWORD]}"
    if [[ $COMP_CWORD -ge 1 ]]; then
        prev="${COMP_WORDS[COMP_CWORD-1]}"
    else
        prev=""
    fi
    cmd=""
    opts=""

    for i in ${COMP_WORDS[@]}; do
        case "${i}" in
            aspenspring | */aspenspring)
                cmd="aspenspring"
                ;;
            node)
                cmd="aspenspring_node"
                ;;
            mesh)
                cmd="aspenspring_mesh"
                ;;
            check)
                cmd="aspenspring_check"
                ;;
            settings)
                cmd="aspenspring_settings"
                ;;
            submit)
                cmd="aspenspring_submit"
                ;;
            show)
                cmd="aspenspring_show"
                ;;
            list)
                cmd="aspenspring_list"
                ;;
            status)
                cmd="aspenspring_status"
                ;;
            leave)
                cmd="aspenspring_leave"
                ;;
            compare)
                cmd="aspenspring_compare"
                ;;
            explain)
                cmd="aspenspring_explain"
                ;;
            replay)
                cmd="aspenspring_replay"
                ;;
            schema)
                cmd="aspenspring_schema"
                ;;
            completions)
                cmd="aspenspring_completions"
                ;;
            manual)
                cmd="aspenspring_manual"
                ;;
            standin)
                cmd="aspenspring_standin"
                ;;
            table)
                cmd="aspenspring_standin_table"
                ;;
            objects)
                cmd="aspenspring_standin_objects"
                ;;
            target)
                cmd="aspenspring_standin_target"
                ;;
            collector)
                cmd="aspenspring_standin_collector"
                ;;
            fetch)
                cmd="aspenspring_standin_fetch"
                ;;
            load)
                cmd="aspenspring_standin_load"
                ;;
            bench)
                cmd="aspenspring_standin_bench"
                ;;
        esac
    done

    case "${cmd}" in
        aspenspring)
            opts="--help"
            cmds="node mesh check settings submit show list status leave compare explain replay schema completions manual standin"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_node)
            opts="--help --settings --record"
            case "${prev}" in
                --settings)
                    COMPREPLY=()
                    return 0
                    ;;
                --record)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_mesh)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_check)
            opts="--help --settings --rules --document --site --json"
            case "${prev}" in
                --settings)
                    COMPREPLY=()
                    return 0
                    ;;
                --rules)
                    COMPREPLY=()
                    return 0
                    ;;
                --document)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_settings)
            opts="--help --settings --site --json --merged"
            case "${prev}" in
                --settings)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_submit)
            opts="--help --node --based-on --base --site --document --drop-site --by --key-env --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --based-on)
                    COMPREPLY=()
                    return 0
                    ;;
                --base)
                    COMPREPLY=()
                    return 0
                    ;;
                --site)
                    COMPREPLY=()
                    return 0
                    ;;
                --document)
                    COMPREPLY=()
                    return 0
                    ;;
                --drop-site)
                    COMPREPLY=()
                    return 0
                    ;;
                --by)
                    COMPREPLY=()
                    return 0
                    ;;
                --key-env)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_show)
            opts="--help --node --version --key-env --document --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --version)
                    COMPREPLY=()
                    return 0
                    ;;
                --key-env)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_list)
            opts="--help --node --key-env --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --key-env)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_status)
            opts="--help --node --key-env --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --key-env)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_leave)
            opts="--help --node --key-env --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --key-env)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_compare)
            opts="--help --run --during --trigger --plot --json"
            case "${prev}" in
                --run)
                    COMPREPLY=()
                    return 0
                    ;;
                --during)
                    COMPREPLY=()
                    return 0
                    ;;
                --trigger)
                    COMPREPLY=()
                    return 0
                    ;;
                --plot)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_explain)
            opts="--help --json"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_replay)
            opts="--help --expect --json"
            case "${prev}" in
                --expect)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_schema)
            opts="--help --rules"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_completions)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_manual)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin)
            opts="--help"
            cmds="table objects target collector fetch load bench"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_table)
            opts="--help --listen"
            case "${prev}" in
                --listen)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_objects)
            opts="--help --listen"
            case "${prev}" in
                --listen)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_target)
            opts="--help --service --name --listen --node --slots --lane-slots --queue-max --connections --service-ms --seed --calls --parallel --cold-ms"
            case "${prev}" in
                --service)
                    COMPREPLY=()
                    return 0
                    ;;
                --name)
                    COMPREPLY=()
                    return 0
                    ;;
                --listen)
                    COMPREPLY=()
                    return 0
                    ;;
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --slots)
                    COMPREPLY=()
                    return 0
                    ;;
                --lane-slots)
                    COMPREPLY=()
                    return 0
                    ;;
                --queue-max)
                    COMPREPLY=()
                    return 0
                    ;;
                --connections)
                    COMPREPLY=()
                    return 0
                    ;;
                --service-ms)
                    COMPREPLY=()
                    return 0
                    ;;
                --seed)
                    COMPREPLY=()
                    return 0
                    ;;
                --calls)
                    COMPREPLY=()
                    return 0
                    ;;
                --cold-ms)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_collector)
            opts="--help --listen"
            case "${prev}" in
                --listen)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_fetch)
            opts="--help --url --method --body --header --depth --timeout-ms"
            case "${prev}" in
                --url)
                    COMPREPLY=()
                    return 0
                    ;;
                --method)
                    COMPREPLY=()
                    return 0
                    ;;
                --body)
                    COMPREPLY=()
                    return 0
                    ;;
                --header)
                    COMPREPLY=()
                    return 0
                    ;;
                --depth)
                    COMPREPLY=()
                    return 0
                    ;;
                --timeout-ms)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_load)
            opts="--help --node --call --phase --capacity --deadline-ms --depth --retries --polite --at --trigger --seed --out --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --call)
                    COMPREPLY=()
                    return 0
                    ;;
                --phase)
                    COMPREPLY=()
                    return 0
                    ;;
                --capacity)
                    COMPREPLY=()
                    return 0
                    ;;
                --deadline-ms)
                    COMPREPLY=()
                    return 0
                    ;;
                --depth)
                    COMPREPLY=()
                    return 0
                    ;;
                --retries)
                    COMPREPLY=()
                    return 0
                    ;;
                --at)
                    COMPREPLY=()
                    return 0
                    ;;
                --trigger)
                    COMPREPLY=()
                    return 0
                    ;;
                --seed)
                    COMPREPLY=()
                    return 0
                    ;;
                --out)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        aspenspring_standin_bench)
            opts="--help --node --target --path --concurrent --round-ms --rounds --json"
            case "${prev}" in
                --node)
                    COMPREPLY=()
                    return 0
                    ;;
                --target)
                    COMPREPLY=()
                    return 0
                    ;;
                --path)
                    COMPREPLY=()
                    return 0
                    ;;
                --concurrent)
                    COMPREPLY=()
                    return 0
                    ;;
                --round-ms)
                    COMPREPLY=()
                    return 0
                    ;;
                --rounds)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
    esac
}

complete -F _aspenspring -o bashdefault -o default aspenspring
