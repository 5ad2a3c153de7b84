package serve

import "syscall"

// hasSocketEvent reports whether one of the epoll events is pending on a connection or a listener, or an error or a hang-up, which
// epoll always reports. It returns false if that is not known.
func hasSocketEvent(c any, events uint32) bool {
	raw, err := RawConn(c)
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) { pending = hasEvent(int(fd), events) })
	return err == nil && pending
}

// hasEvent does what hasSocketEvent does, on the file descriptor.
func hasEvent(fd int, events uint32) bool {
	epfd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer func() { _ = syscall.Close(epfd) }()
	event := syscall.EpollEvent{Events: events}
	if err := syscall.EpollCtl(epfd, syscall.EPOLL_CTL_ADD, fd, &event); err != nil {
		return false
	}
	n, err := syscall.EpollWait(epfd, []syscall.EpollEvent{event}, 0)
	return err == nil && n > 0
}
