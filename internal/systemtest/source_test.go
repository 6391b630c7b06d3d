package systemtest

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// A relay has to know who calls, but all calls come from the same address. The system's table of connections names the
// socket at the other end, and the descriptors of a process tell whether that is its own.

// holds tells whether a process has the socket.
func holds(pid int, socket string) bool {
	folder := filepath.Join("/proc", fmt.Sprint(pid), "fd")
	names, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(folder, name.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}

// socketOf finds the caller's socket of an accepted connection; empty when it is gone.
func socketOf(connection net.Conn) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const localColumn, remoteColumn, inodeColumn = 1, 2, 9
	local, remote := tableAddress(connection.RemoteAddr()), tableAddress(connection.LocalAddr())
	for line := range strings.Lines(string(table)) {
		if !strings.Contains(line, local) {
			continue
		}
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && columns[localColumn] == local && columns[remoteColumn] == remote {
			return "socket:[" + columns[inodeColumn] + "]"
		}
	}
	return ""
}

// tableAddress is an address as the table writes it.
func tableAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), tcp.Port)
}
