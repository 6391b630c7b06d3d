package lab

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// bootVariable names the settings file of a process.
const bootVariable = "PUFFINLINK_BOOT"

// process is a process that the lab started. A nil process was never started.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed after its end
}

// rolePattern matches a role of the deploy file with its command.
var rolePattern = regexp.MustCompile(`(?m)^\[roles\.([a-z-]+)\]\s*\nrun = "([^"]+)"`)

// readCommands reads the command of each role from the deploy file.
func readCommands(path string) (map[string][]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	commands := make(map[string][]string)
	for _, match := range rolePattern.FindAllStringSubmatch(string(content), -1) {
		commands[match[1]] = strings.Fields(match[2])
	}
	return commands, nil
}

// start starts the process of a role with a settings file. Its log goes to a file in the temporary folder.
func (l *Lab) start(role, machine, settings string) (*process, error) {
	words := l.commands[role]
	if len(words) == 0 {
		return nil, fmt.Errorf("%w: %s", errNoCommand, role)
	}
	log, err := os.OpenFile(settings+"."+role+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	command := exec.Command(words[0], words[1:]...)
	command.Env = append(os.Environ(), bootVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	err = command.Start()
	_ = log.Close() // the process has its own descriptor
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", role, err)
	}
	started := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // the lab kills its processes, so an exit status says nothing
		close(started.ended)
	}()
	l.Record.Add("started %s on %s", strings.Join(words, " "), machine)
	return started, nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.command.Process.Kill() // fails only if the process has ended
	<-p.ended
}
