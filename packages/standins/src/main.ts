/**
 * Command that starts the stand-ins of one deployment, to try faults by hand.
 *
 * @module
 */
import { binary, command, multioption, number, oneOf, option, run, string, array } from 'cmd-ts'
import { DEPLOYMENTS } from './lib/deployments.js'
import { StandIns } from './lib/StandIns.js'

const main = command({
  name: 'standins',
  description: `Stand-ins for the platform, hosts and targets, on loopback.
Control them with POST /control/ORDER at the first port, JSON in the body:
  counts    {}                                               counts of calls and runs
  platform  {"isDown":true,"latencyMs":50,"loseAnswerShare":0.3}
  cut       {"availabilityZone":"west-a","isCut":true}       the platform no longer answers this zone
  store     {"action":"back-up"} then {"action":"restore"}   a store restored from an older copy
  target    {"hostId":"west-a-w00","slowFactor":20,"failsAll":true,"truncateShare":0.5,"crossShare":0.5,"lateShare":0.5,"lateMs":2000,"closeDelimitedShare":0.5}
  host      {"hostId":"west-a-w00","state":"gone"}           or "live", "leaving"
  runs      {"callId":"..."}                                 the hosts that ran the call`,
  args: {
    deployment: option({ type: oneOf(Object.keys(DEPLOYMENTS)), long: 'deployment', defaultValue: () => 'korsord', description: 'the deployment that defines hosts and services' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1, description: 'seed of all random numbers' }),
    firstPort: option({ type: number, long: 'first-port', defaultValue: () => 21000, description: 'port of the control interface; the ports of the platform, one for each zone, and of the targets follow' }),
    rebootMs: option({ type: number, long: 'reboot-ms', defaultValue: () => 2000, description: 'duration of a reboot' }),
    listLagMs: option({ type: number, long: 'list-lag-ms', defaultValue: () => 500, description: 'lag of the list of hosts' }),
    brokenHosts: multioption({ type: array(string), long: 'broken-host', description: 'a host that does not come back from a reboot' }),
    entryHosts: multioption({ type: array(string), long: 'entry-host', description: 'an entry host that the platform lists, as NAME@ZONE' })
  },
  handler: async (args) => {
    const deployment = DEPLOYMENTS[args.deployment]
    if (deployment === undefined) return
    const entryHosts = args.entryHosts.map((text) => ({ entryHostId: text.split('@')[0] ?? '', availabilityZone: text.split('@')[1] ?? '' }))
    const standIns = new StandIns({ ...args, deployment, entryHosts })
    await standIns.start()
    process.stdout.write(`${JSON.stringify({ ready: true, controlPort: args.firstPort })}\n`)
    process.once('SIGTERM', () => process.exit(0))
  }
})

await run(binary(main), process.argv)
