/**
 * Lightweight stand-ins for the platform, its hosts, workers and the targets.
 *
 * @module
 */
export { DEPLOYMENTS, deployHosts, type DeployedHost, type DeployedService, type Deployment } from './lib/deployments.js'
export { StandIns, type StandInCounts, type StandInsOptions } from './lib/StandIns.js'
export { StandInNetwork, type NetworkNode } from './lib/StandInNetwork.js'
export { StandInPlatform, type PlatformFaults } from './lib/StandInPlatform.js'
export { NO_FAULTS, StandInTarget, type StandInTargetOptions, type TargetFaults } from './lib/StandInTarget.js'
export { StandInRuns, StandInWorker, type RunRecord, type StandInCommand, type WorkerFaults } from './lib/StandInRuns.js'
export { MeasuredProcess } from './lib/MeasuredProcess.js'
export { CrowdClient, sendAhead, sendOnce, sendRepeated, StandInCrowd, type CrowdScript } from './lib/StandInCrowd.js'
