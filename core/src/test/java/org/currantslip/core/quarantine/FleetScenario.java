package org.currantslip.core.quarantine;

/**
 * What happens in a run.
 *
 * @param nodes number of nodes
 * @param endpoints number of endpoints
 * @param batch requests that an endpoint works on at a time
 * @param badParts number of parts that crash endpoints
 * @param badShare share of the requests that have such a part
 * @param badPosition position of the part in the prompt
 * @param requestsPerS requests for the service
 * @param serviceMs mean time of a response
 * @param prefillMs mean time to the first token
 * @param messageDelayMs maximum delay of a message between nodes
 * @param messageLoss share of these messages that are lost
 * @param badFromMs start of the requests with bad parts
 * @param endMs end of all requests
 * @param crashesPerS endpoints that crash for other reasons
 * @param poolKillMs time at which all endpoints crash, or a negative value
 * @param nodeRestartMs time at which one node is restarted, or a negative value
 * @param brokenShare share of the responses that break though the endpoint goes on
 * @param keepsId whether an endpoint keeps its id when it is started again
 */
record FleetScenario(
    long seed,
    int nodes,
    int endpoints,
    int batch,
    int badParts,
    double badShare,
    int badPosition,
    double requestsPerS,
    double serviceMs,
    double prefillMs,
    long messageDelayMs,
    double messageLoss,
    long badFromMs,
    long endMs,
    double crashesPerS,
    long poolKillMs,
    long nodeRestartMs,
    double brokenShare,
    boolean keepsId) {}
