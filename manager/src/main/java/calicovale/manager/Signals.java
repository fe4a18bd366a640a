package calicovale.manager;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Owns the handling of signals. The platform's only way to them is a class that the compiler warns of whatever is said, so it is
 * reached by name, as terminal libraries do.
 */
final class Signals {

    private Signals() {}

    /** Calls {@code body}, on a thread of its own, whenever the signal comes. */
    static void on(String name, Runnable body) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            body.run();
                            return null;
                        }
                        return method.getName().equals("equals")
                                ? (Object) (self == args[0])
                                : method.getName().equals("hashCode") ? (Object) System.identityHashCode(self) : name;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("signal " + name + " cannot be handled", e);
        }
    }
}
