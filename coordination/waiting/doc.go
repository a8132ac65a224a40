// Package waiting orders the requests of one service for which no target has room, at one
// gateway, and decides which of them are refused.
//
// It answers load that exceeds what targets complete for a while: waves of arrivals, a
// workspace that sends a multiple of its usual rate, and the loss of targets. Targets admit
// in order of arrival, so such a request waits here, where the order can still change and a
// caller that leaves costs nothing.
//
// The order is by rank; within a rank by start-time fair queueing (Goyal, Vin, Cheng, 1996)
// between classes; within a class by deadline. The class of a request is its workspace;
// requests without one form one class. (Elsewhere "class" tells online from batch work.) A
// share of the departures goes to ranks other than the first, so that none starves. A request
// whose turn would come too late at the present rate of departures is refused at once.
package waiting
