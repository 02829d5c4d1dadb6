package view

import "time"

// checkCurrent abandons the current source if it has sent no update for
// updateTimeout.
func (f *Follower) checkCurrent(now time.Time, actions []Action) []Action {
	if f.current == nil || now.Sub(f.current.lastUpdate) <= f.updateTimeout {
		return actions
	}
	actions = append(actions, stopAction(f.current))
	f.delayRetry(now, f.current, nil)
	f.current = nil
	return actions
}

// checkTrial ends a trial that was not confirmed in time. If there is no current
// source, a trial that has sent updates becomes the current source even though it
// is unconfirmed.
func (f *Follower) checkTrial(now time.Time, actions []Action) []Action {
	if f.trial == nil || now.Sub(f.trial.started) < trialTimeout {
		return actions
	}
	f.trialFailed(now, nil)
	if f.current == nil && f.trial.lastUpdate.After(f.trial.started) {
		f.current = f.trial
	} else {
		actions = append(actions, stopAction(f.trial))
	}
	f.trial = nil
	return actions
}

// trialFailed records a failed trial. If there is no confirmed source, the next
// trial prefers sources of another role, since all processes of one role may be
// unreachable.
func (f *Follower) trialFailed(now time.Time, err error) {
	f.delayRetry(now, f.trial, err)
	if f.current.isConfirmed(now) {
		return
	}
	f.failedTrials++
	f.avoidRole = f.trial.role
}

// startTrial tries another source if the current one is not confirmed. Otherwise it
// tries a source of a preferred role about once per upgradeInterval.
func (f *Follower) startTrial(now time.Time, actions []Action) []Action {
	if f.trial != nil || now.Before(f.nextTrial) {
		return actions
	}
	next := f.nextSource(now)
	if next == nil {
		return actions
	}
	if f.failedTrials >= maxQuickTrials {
		f.nextTrial = now.Add(jitter(f.random, trialInterval))
	}
	trial, action := f.openCall(now, StartWatch, next.Source, f.log.watchFrom())
	f.trial = trial
	return append(actions, action)
}

// nextSource returns the source to try next, or nil. It is the current source itself if its
// watch is to be opened anew.
func (f *Follower) nextSource(now time.Time) *candidate {
	if !f.current.isConfirmed(now) {
		return f.sources.best(now, f.SourceAddress(), f.avoidRole)
	}
	if now.Sub(f.current.started) >= f.watchLifetime {
		if known := f.sources.find(f.current.address); known != nil && !now.Before(known.retryAt) {
			return known
		}
	}
	if now.Before(f.nextUpgrade) {
		return nil
	}
	f.nextUpgrade = now.Add(jitter(f.random, upgradeInterval))
	next := f.sources.best(now, f.SourceAddress(), roleCount)
	if next == nil || f.sources.preference(next.Role) >= f.sources.preference(f.current.role) {
		return nil
	}
	return next
}
