// Package waiting decides, at one gateway and for one service, in which order requests run
// for which no target has room, and which of them are refused.
//
// It answers load that exceeds what targets complete for a while: waves of arrivals, a
// workspace that sends a multiple of its usual rate, and the loss of targets. Targets admit
// in order of arrival, so such a request waits here, where the order can still change and a
// caller that leaves costs nothing.
//
// The order is by rank; within a rank start-time fair queueing (Goyal, Vin, Cheng, 1996)
// between workspaces; within a workspace, and where there are none, by
// deadline. A share of the departures goes to ranks other than the first, so that none
// starves. A request whose turn would come too late at the present rate of departures is
// refused at once.
package waiting
