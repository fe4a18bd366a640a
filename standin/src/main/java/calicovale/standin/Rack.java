package calicovale.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One rack's uplink, which boxes on different loops share. Sums the boxes' demand. Thread-safe. */
public final class Rack {
    private final double uplinkKb;
    private final Map<Long, Double> demandKbByBox = new ConcurrentHashMap<>();
    private volatile double uplinkDivisor = 1;

    /**
     * Creates a rack without demand.
     *
     * @param uplinkKb capacity of the uplink in kB/s; 0 if it is unlimited
     */
    public Rack(double uplinkKb) {
        this.uplinkKb = uplinkKb;
    }

    /** Injects a fault that divides the uplink's capacity; a divisor of 1 ends the fault. */
    public void setUplinkDivisor(double divisor) {
        uplinkDivisor = divisor;
    }

    /** Sets the demand of a box, in kB/s. */
    public void setDemand(long boxId, double kbPerSecond) {
        demandKbByBox.put(boxId, kbPerSecond);
    }

    /** Returns the demand divided by the capacity, which may exceed 1; 0 if the uplink is unlimited. */
    public double demandRatio() {
        if (uplinkKb <= 0) {
            return 0;
        }
        double demandKb = 0;
        for (double boxDemandKb : demandKbByBox.values()) {
            demandKb += boxDemandKb;
        }
        return demandKb * uplinkDivisor / uplinkKb;
    }
}
